package org.boragethread.core.stage;

import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;

/** A piece that waits for its call or its answer. Not safe for use by several threads. */
final class PendingPiece {

    private final PieceWork mWork;
    private final int mPriority;
    private final Optional<DataCentreId> mPreferred;
    private final PieceListener mListener;
    private final long mSince;
    private Optional<UpstreamNode> mFailedAt = Optional.empty();
    private int mTries;
    private boolean mCancelled;

    PendingPiece(
            PieceWork work,
            int priority,
            Optional<DataCentreId> preferred,
            PieceListener listener,
            long since) {
        mWork = work;
        mPriority = priority;
        mPreferred = preferred;
        mListener = listener;
        mSince = since;
    }

    PieceWork work() {
        return mWork;
    }

    int priority() {
        return mPriority;
    }

    /** Data centre in which the result is wanted, if its size matters. */
    Optional<DataCentreId> preferred() {
        return mPreferred;
    }

    PieceListener listener() {
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

    void setFailedAt(UpstreamNode node) {
        mFailedAt = Optional.of(node);
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void cancel() {
        mCancelled = true;
    }
}
