package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.RecordPublisher;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.upstream.RateLimitReport;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.RateLimitCodec;

/**
 * Shares the rate limits that upstreams name with the other entries, through a topic of the store.
 * An entry without a share of a limit does not call the upstream, so only the others can tell it
 * that the limit has changed or ended. The last record in the topic is what all entries believe; an
 * entry that sees something else in a later response writes it.
 */
final class RateLimitSync implements TopicListener {

    /**
     * Time over which the entries spread a report that all of them can write, so that one of them
     * does.
     */
    private static final Duration SPREAD = Duration.ofMillis(100);

    /** Time between two reports of this entry about one upstream. */
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);

    private final Gateway mGateway;
    private final RecordApplier mRecords;
    private final Map<UpstreamId, RateLimitReport> mReports = new HashMap<>();
    private final Map<UpstreamId, Long> mPublishedAt = new HashMap<>();
    private final Set<UpstreamId> mPending = new HashSet<>();
    private Set<UpstreamId> mObsolete = Set.of();
    private Optional<RecordPublisher> mPublisher = Optional.empty();

    RateLimitSync(Gateway gateway) {
        mGateway = gateway;
        mRecords = new RecordApplier(gateway, "rate-limit", this::apply);
    }

    /** Sets where reports are written; without it they stay in this process. */
    void setPublisher(RecordPublisher publisher) {
        mPublisher = Optional.of(publisher);
    }

    /** Called when a response of an upstream has changed what is known of its limit. */
    void onObserved(UpstreamNode node) {
        log(node, "response");
        schedulePublication(node.entry().id());
    }

    /** Called when an upstream was announced; its limit may have been reported before. */
    void onAnnounced(UpstreamId upstream) {
        RateLimitReport report = mReports.get(upstream);
        if (report != null) {
            apply(report);
        }
    }

    private void apply(RateLimitReport report) {
        Optional<UpstreamNode> node = mGateway.directory().find(report.upstream());
        if (node.isEmpty() || !report.isAbout(node.get().entry())) {
            return;
        }
        long now = mGateway.time().nanoTime();
        if (node.get().namedRateLimit().learn(report.perSecond(), now)) {
            log(node.get(), "entry");
        }
    }

    private void log(UpstreamNode node, String source) {
        OptionalDouble perSecond = node.namedRateLimit().perSecond();
        mGateway.metrics().onUpstreamSignal("rate-limit");
        mGateway.log()
                .event("rate-limit")
                .with("upstream", node.entry().id())
                .with("group", node.entry().group())
                .with("outcome", perSecond.isPresent() ? "named" : "withdrawn")
                .with("perSecond", perSecond.isPresent() ? perSecond.getAsDouble() : "")
                .with(
                        "ownCallsPerSecond",
                        mGateway.rateLimitShare()
                                .allowance(node)
                                .map(
                                        allowance ->
                                                Math.round(allowance.callsPerSecond() * 100) / 1e2)
                                .map(String::valueOf)
                                .orElse(""))
                .with("source", source)
                .info();
    }

    private void schedulePublication(UpstreamId upstream) {
        if (!mPending.add(upstream)) {
            return;
        }
        String name = mGateway.settings().name() + "/" + upstream.value();
        double share = (Hashing.komihash5_0().hashCharsToLong(name) >>> 11) * 0x1.0p-53;
        long delay = (long) (SPREAD.toNanos() * share);
        Long published = mPublishedAt.get(upstream);
        if (published != null) {
            long next = published + MIN_INTERVAL.toNanos();
            delay = Math.max(delay, next - mGateway.time().nanoTime());
        }
        mGateway.scheduler().schedule(Duration.ofNanos(delay), () -> publish(upstream));
    }

    private void publish(UpstreamId upstream) {
        mPending.remove(upstream);
        Optional<UpstreamNode> node = mGateway.directory().find(upstream);
        if (node.isEmpty()) {
            return;
        }
        RateLimitReport report = RateLimitReport.of(node.get());
        if (report.equals(mReports.get(upstream))) {
            return;
        }
        mPublishedAt.put(upstream, mGateway.time().nanoTime());
        put(RateLimitCodec.key(upstream), Optional.of(RateLimitCodec.encode(report)));
    }

    private void put(String key, Optional<byte[]> value) {
        mPublisher.ifPresent(publisher -> publisher.put(key, value));
    }

    /**
     * Deletes the records that have had no effect since the last invocation: those about limits
     * that have ended, and about upstreams that are not announced.
     */
    void expire() {
        Set<UpstreamId> obsolete = new HashSet<>();
        mReports.forEach(
                (upstream, report) -> {
                    if (isObsolete(report)) {
                        obsolete.add(upstream);
                    }
                });
        for (UpstreamId upstream : obsolete) {
            if (mObsolete.contains(upstream)) {
                mReports.remove(upstream);
                mPublishedAt.remove(upstream);
                put(RateLimitCodec.key(upstream), Optional.empty());
            }
        }
        mObsolete = obsolete;
    }

    private boolean isObsolete(RateLimitReport report) {
        boolean announced =
                mGateway.directory()
                        .find(report.upstream())
                        .filter(node -> report.isAbout(node.entry()))
                        .isPresent();
        return !announced || report.perSecond().isEmpty();
    }

    @Override
    public void onStoreRestored() {
        // The snapshot shows what is missing.
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        mReports.clear();
        mRecords.applyAll(values);
        for (UpstreamNode node : mGateway.directory().all()) {
            UpstreamId upstream = node.entry().id();
            boolean limited = node.namedRateLimit().perSecond().isPresent();
            if (limited && !mReports.containsKey(upstream)) {
                schedulePublication(upstream);
            }
        }
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        mRecords.apply(key, value);
    }

    private void apply(String key, Optional<byte[]> value) throws MalformedRecordException {
        if (!RateLimitCodec.isRateLimit(key)) {
            return;
        }
        if (value.isEmpty()) {
            mReports.remove(RateLimitCodec.decodeKey(key));
            return;
        }
        RateLimitReport report = RateLimitCodec.decode(key, value.get());
        mReports.put(report.upstream(), report);
        apply(report);
    }

    @Override
    public void onUpToDate(ClockReading asOf) {
        // A limit holds whatever the age of its report.
    }

    @Override
    public void onStoreUnavailable(String detail) {
        // Logged by the other listener of the topic.
    }

    @Override
    public void onStoreAvailable() {
        // Logged by the other listener of the topic.
    }
}
