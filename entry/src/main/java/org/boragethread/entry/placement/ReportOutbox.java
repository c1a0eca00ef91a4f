package org.boragethread.entry.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.wire.proto.PlacementHeld;
import org.boragethread.wire.proto.PlacementReport;
import org.boragethread.wire.proto.PlacementReports;
import org.boragethread.wire.proto.PlacementRestore;

/**
 * Reports to one coordinator of a group, in batches of which one is on its way at a time. The first
 * one restores what the coordinator knows of this entry, and so does the one after a loss.
 */
final class ReportOutbox {

    /** Reports of this time share a message; an engine has work for longer. */
    private static final Duration BATCH_TIME = Duration.ofMillis(20);

    /** Time after which a restore that was lost is sent again. */
    private static final Duration RETRY_TIME = Duration.ofMillis(500);

    private final Transport mTransport;
    private final PlacementReports mEnvelope;
    private final Supplier<PlacementRestore> mRestore;
    private final Listener mListener;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private List<PlacementReport> mReports = new ArrayList<>();
    private List<PlacementHeld> mHeld = new ArrayList<>();
    private boolean mRestoreNeeded = true;
    private boolean mScheduled;
    private boolean mSending;
    private boolean mClosed;
    private long mConfirmedAt;

    /** Told whether the coordinator responds. */
    interface Listener {

        void onConfirmed();

        /** A message was not confirmed in time. */
        void onLost();
    }

    /** Sends a message to the coordinator. */
    interface Transport {
        void send(PlacementReports reports, CoordinatorLink.Receipt receiver);
    }

    /**
     * Creates an outbox that has to restore.
     *
     * @param envelope message without reports
     * @param restore returns what this entry has at the engines
     */
    ReportOutbox(
            Transport transport,
            PlacementReports envelope,
            Supplier<PlacementRestore> restore,
            Listener listener,
            Scheduler scheduler,
            TimeSource time) {
        mTransport = transport;
        mEnvelope = envelope;
        mRestore = restore;
        mListener = listener;
        mScheduler = scheduler;
        mTime = time;
        mConfirmedAt = time.nanoTime();
    }

    void add(PlacementReport report) {
        mReports.add(report);
        schedule(BATCH_TIME);
    }

    /** Adds a request at an engine that the coordinator has not chosen. */
    void add(PlacementHeld held) {
        mHeld.add(held);
        schedule(BATCH_TIME);
    }

    /** Sends what the coordinator has missed. */
    void restore() {
        mRestoreNeeded = true;
        schedule(BATCH_TIME);
    }

    /** Returns the time since the coordinator has confirmed a message, or the first one began. */
    Duration silence() {
        return mTime.since(mConfirmedAt);
    }

    /** Sends a message at once, so that a coordinator that does not respond is noticed. */
    void probe() {
        if (!mSending) {
            send();
        }
    }

    /** Restores nothing any more, because another entry coordinates the group. */
    void close() {
        mClosed = true;
    }

    private void schedule(Duration delay) {
        if (!mScheduled) {
            mScheduled = true;
            mScheduler.schedule(delay, this::onTimer);
        }
    }

    private void onTimer() {
        mScheduled = false;
        if (!mSending) {
            send();
        }
    }

    private void send() {
        mSending = true;
        mTransport.send(takeReports(), this::onReported);
    }

    private PlacementReports takeReports() {
        PlacementReports.Builder message = mEnvelope.toBuilder();
        if (mRestoreNeeded && !mClosed) {
            // It has everything that is at engines, so that only reports add to it.
            message.setRestore(mRestore.get());
            mRestoreNeeded = false;
            mHeld = new ArrayList<>();
        }
        message.addAllHeld(mHeld).addAllReports(mReports);
        mHeld = new ArrayList<>();
        mReports = new ArrayList<>();
        return message.build();
    }

    private void onReported(boolean confirmed) {
        mSending = false;
        if (confirmed) {
            mConfirmedAt = mTime.nanoTime();
            mListener.onConfirmed();
        } else {
            mRestoreNeeded = true;
            mListener.onLost();
            if (!mClosed) {
                schedule(RETRY_TIME);
            }
        }
        if (!mReports.isEmpty() || !mHeld.isEmpty()) {
            schedule(BATCH_TIME);
        }
    }
}
