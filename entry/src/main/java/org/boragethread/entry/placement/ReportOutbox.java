package org.boragethread.entry.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.boragethread.core.callback.Supervisor;
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

    /**
     * Restores that are sent again although there is nothing to restore, in case the coordinator
     * lives and counts requests whose end was lost. The next request restores too.
     */
    private static final int MAX_IDLE_RETRIES = 10;

    /** Size of the requests in a message, half of what other entries accept. */
    private static final int MAX_HELD_BYTES = 1 << 19;

    private final Transport mTransport;
    private final PlacementReports mEnvelope;
    private final Supplier<PlacementRestore> mRestore;
    private final Listener mListener;
    private final Scheduler mScheduler;
    private final Supervisor mSupervisor;
    private final TimeSource mTime;
    private List<PlacementReport> mReports = new ArrayList<>();
    private List<PlacementHeld> mHeld = new ArrayList<>();
    private final Deque<PlacementReports> mParts = new ArrayDeque<>();
    private boolean mRestoreNeeded = true;
    private boolean mRestoring;
    private int mRetries;
    private boolean mScheduled;
    private boolean mSending;
    private boolean mClosed;
    private long mConfirmedAt;

    /** Told whether the coordinator responds. */
    interface Listener {

        /** Returns whether requests wait at the coordinator or are at engines. */
        boolean isActive();

        void onConfirmed();

        /** A message was not confirmed in time. */
        void onLost();
    }

    /** Sends a message to the coordinator. */
    interface Transport {
        void send(PlacementReports reports, CoordinatorLink.ReportListener listener);
    }

    /**
     * Creates an outbox that has to restore.
     *
     * @param envelope message without reports
     * @param restore returns what this entry has at the engines
     * @param supervisor told of failures of sending
     */
    ReportOutbox(
            Transport transport,
            PlacementReports envelope,
            Supplier<PlacementRestore> restore,
            Listener listener,
            Scheduler scheduler,
            Supervisor supervisor,
            TimeSource time) {
        mTransport = transport;
        mEnvelope = envelope;
        mRestore = restore;
        mListener = listener;
        mScheduler = scheduler;
        mSupervisor = supervisor;
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
            mSupervisor.run(
                    () -> mScheduler.schedule(delay, this::onTimer), () -> mScheduled = false);
        }
    }

    private void onTimer() {
        mScheduled = false;
        if (!mSending) {
            send();
        }
    }

    /** Sends a message for no request in particular, so that a failure is not that of a request. */
    private void send() {
        mSending = true;
        mSupervisor.run(() -> mTransport.send(takeReports(), this::onReported), this::onSendFailed);
    }

    /** Restores everything, since the reports of the message are no longer known. */
    private void onSendFailed() {
        mSending = false;
        mRestoreNeeded = true;
        scheduleRetry();
    }

    private void scheduleRetry() {
        mRetries++;
        if (!mClosed && (mListener.isActive() || mRetries <= MAX_IDLE_RETRIES)) {
            schedule(RETRY_TIME);
        }
    }

    private PlacementReports takeReports() {
        PlacementReports.Builder message = mEnvelope.toBuilder();
        // A restore has the same requests and is split.
        mRestoreNeeded |=
                PlacementRestore.newBuilder().addAllHeld(mHeld).build().getSerializedSize()
                        > MAX_HELD_BYTES;
        mRestoring = mRestoreNeeded && !mClosed;
        if (mRestoring) {
            // It has everything that is at engines, so that only reports add to it.
            mRestoreNeeded = false;
            mHeld = new ArrayList<>();
            mParts.clear();
            mParts.addAll(split(mRestore.get()));
        }
        if (!mParts.isEmpty()) {
            PlacementReports part = mParts.remove();
            if (!mParts.isEmpty()) {
                return part;
            }
            message.mergeFrom(part);
        }
        message.addAllHeld(mHeld).addAllReports(mReports);
        mHeld = new ArrayList<>();
        mReports = new ArrayList<>();
        return message.build();
    }

    /**
     * Returns messages that restore. If one would be too large, the requests come first, and the
     * restore then lists only their numbers.
     */
    private List<PlacementReports> split(PlacementRestore restore) {
        if (restore.getSerializedSize() <= MAX_HELD_BYTES) {
            return List.of(mEnvelope.toBuilder().setRestore(restore).build());
        }
        List<PlacementReports> parts = new ArrayList<>();
        PlacementRestore.Builder numbers = restore.toBuilder().clearHeld();
        PlacementReports.Builder part = mEnvelope.toBuilder();
        int bytes = 0;
        for (PlacementHeld held : restore.getHeldList()) {
            if (bytes + held.getSerializedSize() > MAX_HELD_BYTES && bytes > 0) {
                parts.add(part.build());
                part = mEnvelope.toBuilder();
                bytes = 0;
            }
            part.addHeld(held);
            bytes += held.getSerializedSize();
            numbers.addHeldBuilder().getNeedsBuilder().setNumber(held.getNeeds().getNumber());
        }
        parts.add(part.build());
        parts.add(mEnvelope.toBuilder().setRestore(numbers).build());
        return parts;
    }

    private void onReported(ReportResult result) {
        mSending = false;
        boolean received =
                result == ReportResult.CONFIRMED || result == ReportResult.RESTORE_NEEDED;
        if (received && !mParts.isEmpty()) {
            mConfirmedAt = mTime.nanoTime();
            send();
            return;
        }
        if (received) {
            mConfirmedAt = mTime.nanoTime();
            if (result == ReportResult.CONFIRMED) {
                mRetries = 0;
            } else if (mRestoring) {
                // The coordinator does not know the group yet.
                mRestoreNeeded = true;
                scheduleRetry();
            } else if (!mClosed) {
                restore();
            }
            mListener.onConfirmed();
        } else {
            mRestoreNeeded = true;
            mListener.onLost();
            scheduleRetry();
        }
        if (!mReports.isEmpty() || !mHeld.isEmpty()) {
            schedule(BATCH_TIME);
        }
    }
}
