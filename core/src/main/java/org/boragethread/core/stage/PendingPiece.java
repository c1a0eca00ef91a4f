package org.boragethread.core.stage;

import java.util.Optional;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;

/** A piece that waits to be sent, or for its response. Not thread-safe. */
public final class PendingPiece {

    /** Precedes all priorities of requests, of which 0 is the most urgent. */
    private static final double PARTLY_SENT_PRIORITY = -1;

    private final PieceWork mWork;
    private final PieceUrgency mUrgency;
    private final Optional<DataCentreId> mPreferred;
    private final PieceListener mListener;
    private final long mSubmittedAt;
    private Optional<UpstreamNode> mFailedAt = Optional.empty();
    private Optional<CallbackGuard.Owner> mOwner = Optional.empty();
    private Runnable mOnCancel = () -> {};
    private int mAttempts;
    private boolean mStagePartlySent;
    private boolean mCancelled;

    /**
     * Creates a pending piece.
     *
     * @param preferred data centre in which to execute the piece, if the transfer size matters
     * @param submittedAt monotonic time at which the piece was submitted
     */
    public PendingPiece(
            PieceWork work,
            PieceUrgency urgency,
            Optional<DataCentreId> preferred,
            PieceListener listener,
            long submittedAt) {
        mWork = work;
        mUrgency = urgency;
        mPreferred = preferred;
        mListener = listener;
        mSubmittedAt = submittedAt;
    }

    public PieceWork work() {
        return mWork;
    }

    public PieceUrgency urgency() {
        return mUrgency;
    }

    /** Returns the data centre in which to execute the piece, if the transfer size matters. */
    public Optional<DataCentreId> preferred() {
        return mPreferred;
    }

    /** Returns the listener that is notified of the outcome. */
    public PieceListener listener() {
        return mListener;
    }

    /** Sets what the listener acts for, unless that is set. */
    void setOwner(CallbackGuard.Owner owner) {
        if (mOwner.isEmpty()) {
            mOwner = Optional.of(owner);
        }
    }

    /** Returns what the listener acts for, for example a request. */
    CallbackGuard.Owner owner() {
        return mOwner.orElseThrow();
    }

    long submittedAt() {
        return mSubmittedAt;
    }

    boolean failedAt(UpstreamNode node) {
        return mFailedAt.isPresent() && mFailedAt.get() == node;
    }

    /** Returns whether a call with the piece has failed. */
    boolean hasFailed() {
        return mFailedAt.isPresent();
    }

    int attempts() {
        return mAttempts;
    }

    void countAttempt() {
        mAttempts++;
    }

    /**
     * Puts the piece before all others, because other pieces of its stage are complete or sent;
     * their results occupy memory without use until this piece is complete too.
     */
    void markStagePartlySent() {
        mStagePartlySent = true;
    }

    boolean isStagePartlySent() {
        return mStagePartlySent;
    }

    /** Returns the priority used for scheduling at the given time; lower values go first. */
    double effectivePriority(long now, long callNanos) {
        return mStagePartlySent ? PARTLY_SENT_PRIORITY : mUrgency.effectivePriority(now, callNanos);
    }

    /** Returns whether the result would come too late to be useful. */
    boolean cannotMeetDeadline(long now, long callNanos) {
        return mUrgency.cannotMeetDeadline(now, callNanos, mWork.deadlineNanos());
    }

    void setFailedAt(UpstreamNode node) {
        mFailedAt = Optional.of(node);
    }

    public boolean isCancelled() {
        return mCancelled;
    }

    /** Sets the task to run when the piece is cancelled. */
    public void setOnCancel(Runnable task) {
        mOnCancel = task;
    }

    /** Cancels the piece, because its result is no longer needed. */
    public void cancel() {
        if (!mCancelled) {
            mCancelled = true;
            mOnCancel.run();
        }
    }
}
