package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.RecordPublisher;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.quarantine.CrashReport;
import org.boragethread.core.quarantine.Quarantine;
import org.boragethread.core.quarantine.QuarantineBlock;
import org.boragethread.core.quarantine.RefutationReport;
import org.boragethread.core.quarantine.Suspect;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.QuarantineCodec;

/**
 * Shares the reports about crashing upstreams with the other entries, through a topic of the store.
 */
final class QuarantineSync implements TopicListener, Quarantine.Listener {

    /**
     * Time over which the entries spread a refutation that all of them can write, so that one of
     * them does.
     */
    private static final Duration REFUTATION_SPREAD = Duration.ofMillis(100);

    /** Records of this entry that are written again if the store loses them. */
    private static final int MAX_OWN_RECORDS = 256;

    private final Gateway mGateway;
    private final Supplier<Quarantine> mQuarantine;
    private final DependencyLog mStoreLog;
    private final RecordApplier mRecords;
    private final Map<String, byte[]> mOwnRecords = new LinkedHashMap<>();
    private final Map<String, Set<Suspect>> mStoredRecords = new HashMap<>();
    private final Set<Suspect> mRefutable = new LinkedHashSet<>();
    private final Set<Runnable> mWatchers = new LinkedHashSet<>();
    private Optional<RecordPublisher> mPublisher = Optional.empty();

    QuarantineSync(Gateway gateway, Supplier<Quarantine> quarantine) {
        mGateway = gateway;
        mQuarantine = quarantine;
        mStoreLog = new DependencyLog(gateway.log(), "store-quarantine");
        mRecords = new RecordApplier(gateway, "quarantine", this::apply);
    }

    /** Sets where reports are written; without it they stay in this process. */
    void setPublisher(RecordPublisher publisher) {
        mPublisher = Optional.of(publisher);
    }

    /** Forgets old evidence, and deletes the records that no suspect needs any more. */
    void expire() {
        Quarantine quarantine = mQuarantine.get();
        quarantine.expire();
        Set<String> obsolete = new LinkedHashSet<>();
        mStoredRecords.forEach(
                (key, parts) -> {
                    if (parts.stream().noneMatch(quarantine::hasEvidence)) {
                        obsolete.add(key);
                    }
                });
        for (String key : obsolete) {
            mStoredRecords.remove(key);
            mOwnRecords.remove(key);
            mPublisher.ifPresent(publisher -> publisher.put(key, Optional.empty()));
        }
    }

    /**
     * Adds a callback for new blocks, which acts for the present owner of callbacks; returns what
     * removes it.
     */
    Runnable watch(Runnable onBlocked) {
        Runnable watcher = mGateway.guard().bind(onBlocked);
        mWatchers.add(watcher);
        return () -> mWatchers.remove(watcher);
    }

    @Override
    public void onCrash(CrashReport report) {
        publish(QuarantineCodec.key(report), QuarantineCodec.encode(report));
    }

    @Override
    public void onRefutable(Suspect part) {
        if (!mRefutable.add(part)) {
            return;
        }
        String name = mGateway.settings().name() + "/" + part;
        double share = (Hashing.komihash5_0().hashCharsToLong(name) >>> 11) * 0x1.0p-53;
        Duration delay = Duration.ofNanos((long) (REFUTATION_SPREAD.toNanos() * share));
        mGateway.scheduler().schedule(delay, () -> publishRefutation(part));
    }

    private void publishRefutation(Suspect part) {
        mRefutable.remove(part);
        mQuarantine
                .get()
                .unreportedRefutation(part)
                .ifPresent(
                        report ->
                                publish(
                                        QuarantineCodec.key(report),
                                        QuarantineCodec.encode(report)));
    }

    private void publish(String key, byte[] value) {
        mOwnRecords.remove(key);
        mOwnRecords.put(key, value);
        if (mOwnRecords.size() > MAX_OWN_RECORDS) {
            String oldest = mOwnRecords.keySet().iterator().next();
            mOwnRecords.remove(oldest);
        }
        mPublisher.ifPresent(publisher -> publisher.put(key, Optional.of(value)));
    }

    @Override
    public void onBlocked(QuarantineBlock block) {
        mGateway.metrics().onPartBlocked();
        mGateway.log()
                .event("quarantine")
                .with("outcome", "blocked")
                .with("part", block.suspect())
                .with("crashes", block.crashes())
                .with("firstReporter", block.firstReporter())
                .with("ageMs", block.age().toMillis())
                .with("remainingMs", block.remaining().toMillis())
                .warn();
        // Later, as the evidence may be incomplete until the whole report was added.
        mGateway.scheduler()
                .schedule(Duration.ZERO, () -> Set.copyOf(mWatchers).forEach(Runnable::run));
    }

    @Override
    public void onUnblocked(Suspect part) {
        mGateway.log().event("quarantine").with("outcome", "unblocked").with("part", part).info();
    }

    @Override
    public void onStoreRestored() {
        // The snapshot shows what is missing.
    }

    @Override
    public void onSnapshot(Map<String, byte[]> values) {
        mRecords.applyAll(values);
        mOwnRecords.forEach(
                (key, value) -> {
                    if (!values.containsKey(key)) {
                        mPublisher.ifPresent(publisher -> publisher.put(key, Optional.of(value)));
                    }
                });
        mGateway.setQuarantineKnown();
    }

    @Override
    public void onChange(String key, Optional<byte[]> value) {
        mRecords.apply(key, value);
    }

    private void apply(String key, Optional<byte[]> value) throws MalformedRecordException {
        Quarantine quarantine = mQuarantine.get();
        QuarantineCodec.Kind kind = QuarantineCodec.kind(key);
        if (kind == QuarantineCodec.Kind.OVERRIDE) {
            Suspect part = QuarantineCodec.decodeOverrideKey(key);
            quarantine.setOverride(
                    part,
                    value.isEmpty()
                            ? Optional.empty()
                            : Optional.of(QuarantineCodec.decodeOverride(value.get())));
            return;
        }
        if (value.isEmpty()) {
            // Each process forgets old reports by itself.
            mStoredRecords.remove(key);
            return;
        }
        if (kind == QuarantineCodec.Kind.CRASH) {
            CrashReport report = QuarantineCodec.decodeCrash(value.get());
            mStoredRecords.put(key, report.precedents().keySet());
            quarantine.addCrash(report);
        } else if (kind == QuarantineCodec.Kind.REFUTATION) {
            RefutationReport report = QuarantineCodec.decodeRefutation(value.get());
            mStoredRecords.put(key, Set.of(report.suspect()));
            quarantine.addRefutation(report);
        }
    }

    @Override
    public void onUpToDate(ClockReading asOf) {
        // Reports hold whatever their age.
    }

    @Override
    public void onStoreUnavailable(String detail) {
        mGateway.setQuarantineKnown();
        mStoreLog.lost(detail);
    }

    @Override
    public void onStoreAvailable() {
        mStoreLog.regained();
    }
}
