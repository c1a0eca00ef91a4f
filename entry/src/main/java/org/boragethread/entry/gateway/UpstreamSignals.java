package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.ServerLoad;
import org.boragethread.platform.store.HeaderDecoder;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.process.log.EventLog;

/** Applies what an upstream's responses and connections say about the upstream itself. */
final class UpstreamSignals {

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final double PERCENT = 100;
    private static final String LEAVING_VALUE = "1";

    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final RateLimitSync mRateLimitSync;
    private final SchedulingSettings mScheduling;

    UpstreamSignals(
            Scheduler scheduler,
            TimeSource time,
            EventLog log,
            GatewayMetrics metrics,
            RateLimitSync rateLimitSync,
            SchedulingSettings scheduling) {
        mScheduler = scheduler;
        mTime = time;
        mLog = log;
        mMetrics = metrics;
        mRateLimitSync = rateLimitSync;
        mScheduling = scheduling;
    }

    /**
     * Applies the headers of a response.
     *
     * @param calledEntry announcement of the upstream when it was called; another process that has
     *     its address now says nothing about it, nor does an earlier run about the present one
     * @param sentAt monotonic time at which the call was sent
     */
    void apply(
            UpstreamNode node,
            UpstreamAnnouncement calledEntry,
            long sentAt,
            int status,
            HttpHeaders headers) {
        if (status == MISDIRECTED || !node.entry().isSameIncarnation(calledEntry)) {
            return;
        }
        applyLeaving(node, headers.getAll(PlatformHeaders.LEAVING));
        if (mScheduling.isShared()) {
            applyLoad(node, headers.get(PlatformHeaders.LOAD));
        }
        applyRateLimit(node, sentAt, headers.getAll(PlatformHeaders.RATE_LIMIT));
        if (status == UNAVAILABLE) {
            applyPause(node, headers.getAll(PlatformHeaders.RETRY_AFTER));
        }
    }

    /**
     * Records that an upstream refused a connection.
     *
     * @param startedAt monotonic time at which the connection attempt began
     * @param coldTime time for which the upstream is cold after a restart
     */
    void onConnectionRefused(UpstreamNode node, long startedAt, Duration coldTime) {
        boolean wasRefusing = node.isRefusing();
        node.onConnectionRefused(startedAt, mTime.nanoTime(), coldTime);
        mMetrics.onUpstreamSignal("refused");
        if (!wasRefusing && node.isRefusing()) {
            line(node, "refuses").with("address", node.entry().address()).info();
        }
    }

    /**
     * Records that an upstream accepted a connection.
     *
     * @param calledEntry announcement of the upstream when it was called
     */
    void onConnected(UpstreamNode node, UpstreamAnnouncement calledEntry) {
        if (node.isRefusing() && node.entry().isSameIncarnation(calledEntry)) {
            node.onConnected(mTime.nanoTime());
            logAccepts(node);
        }
    }

    /**
     * Records that an upstream responded, perhaps on a connection that existed before.
     *
     * @param calledEntry announcement of the upstream when it was called
     * @param sentAt monotonic time at which the call was sent
     */
    void onResponded(UpstreamNode node, UpstreamAnnouncement calledEntry, long sentAt) {
        if (node.isRefusing() && node.entry().isSameIncarnation(calledEntry)) {
            node.onResponded(sentAt, mTime.nanoTime());
            logAccepts(node);
        }
    }

    private void logAccepts(UpstreamNode node) {
        if (!node.isRefusing()) {
            line(node, "accepts").with("address", node.entry().address()).info();
        }
    }

    private void applyLoad(UpstreamNode node, String value) {
        Optional<ServerLoad> load = HeaderDecoder.load(value);
        if (value != null && load.isEmpty()) {
            logMalformed(node, PlatformHeaders.LOAD, List.of(value));
        }
        load.map(ServerLoad::timePercent)
                .filter(OptionalInt::isPresent)
                .ifPresent(
                        percent ->
                                node.reportTimeFactor(
                                        percent.getAsInt() / PERCENT, mTime.nanoTime()));
    }

    private void applyLeaving(UpstreamNode node, List<String> values) {
        if (values.isEmpty()) {
            return;
        }
        if (!values.equals(List.of(LEAVING_VALUE))) {
            logMalformed(node, PlatformHeaders.LEAVING, values);
        }
        if (HeaderDecoder.leaving(values) && !node.isLeaving()) {
            node.markLeaving();
            mMetrics.onUpstreamSignal("leaving");
            line(node, "leaving").with("source", "response").info();
        }
    }

    private void applyRateLimit(UpstreamNode node, long sentAt, List<String> values) {
        OptionalDouble named = HeaderDecoder.rateLimit(values);
        boolean malformed = !values.isEmpty() && (named.isEmpty() || values.size() > 1);
        if (malformed) {
            logMalformed(node, PlatformHeaders.RATE_LIMIT, values);
        }
        if (malformed && named.isEmpty()) {
            return;
        }
        if (node.namedRateLimit().observe(named, sentAt, mTime.nanoTime())) {
            mRateLimitSync.onObserved(node);
        }
    }

    private void applyPause(UpstreamNode node, List<String> values) {
        if (values.isEmpty()) {
            return;
        }
        Optional<Duration> pause = HeaderDecoder.pause(values);
        if (pause.isEmpty() || values.size() > 1) {
            logMalformed(node, PlatformHeaders.RETRY_AFTER, values);
        }
        if (pause.isEmpty()) {
            return;
        }
        boolean wasPaused = node.isPaused(mTime.nanoTime());
        node.pauseUntil(mTime.nanoTime() + pause.get().toNanos());
        if (!wasPaused) {
            mMetrics.onUpstreamSignal("paused");
            line(node, "paused").with("pauseMs", pause.get().toMillis()).info();
            awaitEndOfPause(node);
        }
    }

    /** Logs the end of a pause, which later responses may have extended. */
    private void awaitEndOfPause(UpstreamNode node) {
        Duration remaining = node.pauseTime(mTime.nanoTime());
        if (remaining.isZero()) {
            line(node, "pause-ended").info();
            return;
        }
        mScheduler.schedule(remaining, () -> awaitEndOfPause(node));
    }

    private void logMalformed(UpstreamNode node, CharSequence header, List<String> values) {
        mMetrics.onUpstreamSignal("malformed");
        line(node, "malformed-header").with("header", header).with("values", values).warn();
    }

    private EventLog.Line line(UpstreamNode node, String outcome) {
        return mLog.event("upstream")
                .with("id", node.entry().id())
                .with("group", node.entry().group())
                .with("outcome", outcome);
    }
}
