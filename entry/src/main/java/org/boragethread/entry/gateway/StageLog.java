package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.core.stage.PieceWork;
import org.boragethread.core.stage.StageObserver;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.process.log.EventLog;

/** Logs and counts the stages of one group that this entry delays or rejects as its coordinator. */
final class StageLog implements StageObserver {

    private final GroupId mGroup;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;

    StageLog(GroupId group, EventLog log, GatewayMetrics metrics) {
        mGroup = group;
        mLog = log;
        mMetrics = metrics;
    }

    @Override
    public void onRejected(PieceWork work, int pieces, Duration delay) {
        mMetrics.onStageDelayed("rejected");
        line(work, pieces, "rejected").with("delayMs", delay.toMillis()).info();
    }

    @Override
    public void onReserved(UpstreamNode upstream, PieceWork work, int pieces) {
        mMetrics.onStageDelayed("memory-reserved");
        line(work, pieces, "memory-reserved").with("upstream", upstream.entry().id()).info();
    }

    private EventLog.Line line(PieceWork work, int pieces, String outcome) {
        return mLog.event("stage", work.requestId())
                .with("outcome", outcome)
                .with("group", mGroup)
                .with("stage", work.stage())
                .with("pieces", pieces)
                .with("bytes", pieces * work.resultBytes());
    }
}
