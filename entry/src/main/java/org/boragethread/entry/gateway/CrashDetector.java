package org.boragethread.entry.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.boragethread.core.quarantine.Quarantine;
import org.boragethread.core.quarantine.Suspect;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.http.HttpConnectionPool;
import org.boragethread.wire.http.HttpConnectionPool.ProbeResult;

/**
 * Tells the crash of an upstream from other ends of a connection. An upstream that crashed refuses
 * connections at once; one that is only silent, reset a connection or broke off a response has not
 * crashed.
 */
final class CrashDetector {

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);

    /** Time for which the result of a probe holds for further broken connections. */
    private static final Duration PROBE_LIFETIME = Duration.ofSeconds(1);

    private static final int MAX_PROBES = 256;

    private final HttpConnectionPool mConnections;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final Quarantine mQuarantine;
    private final Map<String, Probe> mProbes = new LinkedHashMap<>();

    CrashDetector(
            HttpConnectionPool connections,
            TimeSource time,
            EventLog log,
            GatewayMetrics metrics,
            Quarantine quarantine) {
        mConnections = connections;
        mTime = time;
        mLog = log;
        mMetrics = metrics;
        mQuarantine = quarantine;
    }

    /**
     * Called when an upstream closed the connection of a request.
     *
     * @param called announcement of the upstream when it was called
     * @param precedents known crashes under each part of the prompt when the request was sent
     */
    void onConnectionEnded(
            UpstreamNode node, UpstreamAnnouncement called, Map<Suspect, Set<String>> precedents) {
        if (precedents.isEmpty() || node.isLeaving()) {
            return;
        }
        String run = called.id() + "@" + called.startedMillis().orElse(0L);
        Probe known = mProbes.get(run);
        if (known != null && known.isCurrent()) {
            known.add(precedents);
            return;
        }
        Probe probe = new Probe(run, node, called);
        probe.add(precedents);
        mProbes.put(run, probe);
        if (mProbes.size() > MAX_PROBES) {
            mProbes.remove(mProbes.keySet().iterator().next());
        }
        mConnections.probe(
                new InetSocketAddress(called.host(), called.port()),
                PROBE_TIMEOUT,
                probe::onResult);
    }

    /** Checks whether one run of an upstream has ended, and collects what it was working on. */
    private final class Probe {

        private final String mRun;
        private final UpstreamNode mNode;
        private final UpstreamAnnouncement mCalled;
        private final long mStartedAt = mTime.nanoTime();
        private final Map<Suspect, Set<String>> mPrecedents = new HashMap<>();
        private boolean mPending = true;
        private boolean mCrashed;

        Probe(String run, UpstreamNode node, UpstreamAnnouncement called) {
            mRun = run;
            mNode = node;
            mCalled = called;
        }

        /** A run that has ended does not come back. */
        boolean isCurrent() {
            return mPending || mCrashed || mTime.since(mStartedAt).compareTo(PROBE_LIFETIME) < 0;
        }

        void add(Map<Suspect, Set<String>> precedents) {
            precedents.forEach(
                    (part, crashes) ->
                            mPrecedents
                                    .computeIfAbsent(part, key -> new HashSet<>())
                                    .addAll(crashes));
            if (mCrashed) {
                report();
            }
        }

        void onResult(ProbeResult result) {
            mPending = false;
            mCrashed = result == ProbeResult.REFUSED;
            if (result != ProbeResult.ACCEPTED && mNode.entry().isSameIncarnation(mCalled)) {
                mNode.doubtRun(mTime.nanoTime());
            }
            mLog.event("upstream")
                    .with("id", mCalled.id())
                    .with("outcome", mCrashed ? "crashed" : "connection-ended")
                    .with("probe", result)
                    .with("parts", mPrecedents.size())
                    .info();
            if (mCrashed) {
                mMetrics.onUpstreamCrash();
                report();
            }
        }

        private void report() {
            mQuarantine.reportCrash(mRun, mPrecedents);
        }
    }
}
