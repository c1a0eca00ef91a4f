package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.time.Scheduler;
import org.boragethread.entry.rollout.RolloutPeers;
import org.boragethread.entry.rollout.RolloutReportCodec;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.HttpConnectionPool;
import org.boragethread.wire.proto.RolloutReport;

/** Sends reports on roll-outs to other entries over HTTP. */
final class RolloutReportClient implements RolloutPeers {

    static final String PATH = "/rollout-report";

    /** The time between two reports; a coordinator that takes longer is replaced. */
    private static final Duration TIMEOUT = Duration.ofMillis(EntryReport.PERIOD_MILLIS);

    private static final int OK = 200;
    private static final int MAX_RESPONSE_BYTES = 1024;

    private final HttpConnectionPool mConnections;
    private final Scheduler mScheduler;

    RolloutReportClient(HttpConnectionPool connections, Scheduler scheduler) {
        mConnections = connections;
        mScheduler = scheduler;
    }

    @Override
    public void send(String peer, EntryReport report, Runnable onFailure) {
        send(peer, RolloutReportCodec.encode(report), onFailure);
    }

    @Override
    public void probe(String peer, Runnable onFailure) {
        send(peer, RolloutReport.getDefaultInstance(), onFailure);
    }

    private void send(String peer, RolloutReport message, Runnable onFailure) {
        BufferedResponse.fetch(
                mConnections,
                mScheduler,
                PeerClient.createCall(peer, PATH, message),
                TIMEOUT,
                MAX_RESPONSE_BYTES,
                response -> {
                    if (response.isLeft() || response.get().status() != OK) {
                        onFailure.run();
                    }
                });
    }
}
