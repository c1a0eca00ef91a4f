package org.boragethread.core.stage;

import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;

/** A piece that waits for its call or its answer. Not safe for use by several threads. */
public final class PendingPiece {

    private final PieceWork mWork;
    private final PieceUrgency mUrgency;
    private final Optional<DataCentreId> mPreferred;
    private final PieceListener mListener;
    private final long mSince;
    private Optional<UpstreamNode> mFailedAt = Optional.empty();
    private Runnable mOnCancel = () -> {};
    private int mTries;
    private int mRoomRefusals;
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

    /** Counts that there was no room for the result, and returns how often that was so. */
    int onNoRoom() {
        mRoomRefusals++;
        return mRoomRefusals;
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
