package org.boragethread.core.stage;

import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;

/** A piece that waits for its call or its answer. Not safe for use by several threads. */
public final class PendingPiece {

    /** Before all priorities, of which 0 is the most urgent. */
    private static final double AWAITED_RANK = -1;

    private final PieceWork mWork;
    private final PieceUrgency mUrgency;
    private final Optional<DataCentreId> mPreferred;
    private final PieceListener mListener;
    private final long mSince;
    private Optional<UpstreamNode> mFailedAt = Optional.empty();
    private Runnable mOnCancel = () -> {};
    private int mTries;
    private boolean mAwaited;
    private boolean mCancelled;

    /**
     * Makes a piece.
     *
     * @param preferred data centre in which the result is wanted, if its size matters
     * @param since monotonic time from which the piece waits
     */
    public PendingPiece(
            PieceWork work,
            PieceUrgency urgency,
            Optional<DataCentreId> preferred,
            PieceListener listener,
            long since) {
        mWork = work;
        mUrgency = urgency;
        mPreferred = preferred;
        mListener = listener;
        mSince = since;
    }

    /** Returns what is to be made. */
    public PieceWork work() {
        return mWork;
    }

    /** Returns how urgent it is. */
    public PieceUrgency urgency() {
        return mUrgency;
    }

    /** Returns the data centre in which the result is wanted, if its size matters. */
    public Optional<DataCentreId> preferred() {
        return mPreferred;
    }

    /** Returns who learns of its fate. */
    public PieceListener listener() {
        return mListener;
    }

    long since() {
        return mSince;
    }

    boolean failedAt(UpstreamNode node) {
        return mFailedAt.isPresent() && mFailedAt.get() == node;
    }

    int tries() {
        return mTries;
    }

    void onTry() {
        mTries++;
    }

    /** Others of its stage are made or sent: until it is made too, they occupy memory in vain. */
    void setAwaited() {
        mAwaited = true;
    }

    /** Returns its place among others at the given time; lower ones go first. */
    double rank(long now, long ownNanos) {
        return mAwaited ? AWAITED_RANK : mUrgency.rank(now, ownNanos);
    }

    /** Tells whether the result would come too late to be of use. */
    boolean isHopeless(long now, long ownNanos) {
        return mUrgency.isHopeless(now, ownNanos, mWork.deadlineNanos());
    }

    void setFailedAt(UpstreamNode node) {
        mFailedAt = Optional.of(node);
    }

    /** Tells whether nobody waits for it any more. */
    public boolean isCancelled() {
        return mCancelled;
    }

    /** Runs a task when nobody waits for the piece any more. */
    public void setOnCancel(Runnable task) {
        mOnCancel = task;
    }

    /** Nobody waits for the piece any more. */
    public void cancel() {
        if (!mCancelled) {
            mCancelled = true;
            mOnCancel.run();
        }
    }
}
