package org.boragethread.entry.placement;

import java.time.Duration;
import org.boragethread.core.placement.PlacementFailure;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.wire.proto.PlacementEvent;
import org.boragethread.wire.proto.PlacementHeld;
import org.boragethread.wire.proto.PlacementNeeds;
import org.boragethread.wire.proto.PlacementReport;

/** A request at an engine, of whose course the coordinator of the group is told. */
final class ReportedAttempt implements PlacedAttempt {

    private final Listener mListener;
    private final PlacementNeeds mNeeds;
    private final long mSentAt;
    private final UpstreamId mEngine;
    private final TimeSource mTime;
    private final PlacementMetrics mMetrics;
    private boolean mFirstEventSeen;
    private boolean mEnded;

    /** Receives what is to be reported. */
    interface Listener {

        void onReport(PlacementReport report);

        /** The attempt has ended; its last report follows. */
        void onEnded(long number);
    }

    ReportedAttempt(
            Listener listener,
            PlacementNeeds needs,
            UpstreamId engine,
            TimeSource time,
            PlacementMetrics metrics) {
        mListener = listener;
        // The engine is chosen. A message with many requests must not exceed the peers' limit.
        mNeeds =
                needs.toBuilder()
                        .clearUnusable()
                        .clearRegions()
                        .clearRequiredVersion()
                        .clearForbiddenVersions()
                        .build();
        mSentAt = time.nanoTime();
        mEngine = engine;
        mTime = time;
        mMetrics = metrics;
    }

    UpstreamId engine() {
        return mEngine;
    }

    long memoryTokens(EngineLimits limits) {
        return limits.memoryTokens(mNeeds.getPromptTokens(), mNeeds.getOutputTokens());
    }

    PlacementHeld encode() {
        Duration age = mTime.since(mSentAt);
        return PlacementHeld.newBuilder()
                .setNeeds(PlacementCodec.later(mNeeds, age))
                .setEngine(mEngine.value())
                .setAgeNanos(age.toNanos())
                .setFirstEventSeen(mFirstEventSeen)
                .build();
    }

    @Override
    public void onPromptProcessed() {
        onFirstEvent(Duration.ZERO);
    }

    @Override
    public void onFirstEvent(Duration responseTime) {
        if (mEnded || mFirstEventSeen) {
            return;
        }
        mFirstEventSeen = true;
        report(
                PlacementReport.newBuilder()
                        .setEvent(PlacementEvent.PLACEMENT_EVENT_FIRST_EVENT)
                        .setResponseTimeNanos(responseTime.toNanos()));
    }

    @Override
    public void onCompleted() {
        end(PlacementEvent.PLACEMENT_EVENT_COMPLETED);
    }

    @Override
    public void onEnded() {
        end(PlacementEvent.PLACEMENT_EVENT_ENDED);
    }

    @Override
    public void onFailed(PlacementFailure failure) {
        end(
                switch (failure) {
                    case REFUSED -> PlacementEvent.PLACEMENT_EVENT_REFUSED;
                    case FAILED -> PlacementEvent.PLACEMENT_EVENT_FAILED;
                    case BROKEN -> PlacementEvent.PLACEMENT_EVENT_BROKEN;
                });
    }

    @Override
    public void onRejected() {
        mMetrics.onPlacementRejected();
        end(PlacementEvent.PLACEMENT_EVENT_REJECTED);
    }

    private void end(PlacementEvent event) {
        if (!mEnded) {
            mEnded = true;
            mListener.onEnded(mNeeds.getNumber());
            report(PlacementReport.newBuilder().setEvent(event));
        }
    }

    private void report(PlacementReport.Builder report) {
        mListener.onReport(report.setNumber(mNeeds.getNumber()).build());
    }
}
