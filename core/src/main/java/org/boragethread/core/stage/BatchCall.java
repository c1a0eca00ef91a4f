package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.boragethread.core.upstream.UpstreamNode;

/** One call with pieces, until each of them was handled. */
final class BatchCall {

    private final UpstreamNode mUpstream;
    private final List<PendingPiece> mPieces;
    private final Set<PendingPiece> mUnhandled = Collections.newSetFromMap(new IdentityHashMap<>());
    private boolean mSent;
    private boolean mEnded;

    BatchCall(UpstreamNode upstream, List<PendingPiece> pieces) {
        mUpstream = upstream;
        mPieces = pieces;
        mUnhandled.addAll(pieces);
    }

    UpstreamNode upstream() {
        return mUpstream;
    }

    List<PendingPiece> pieces() {
        return mPieces;
    }

    /** Counts the call at its upstream, and reserves memory for its results. */
    void onSent(long now) {
        mPieces.forEach(piece -> mUpstream.resultMemory().reserve(piece.work().resultBytes()));
        mUpstream.onSent(now);
        mSent = true;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Takes back what {@link #onSent} counted, unless that was done. */
    void onEnded() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (mSent) {
            mUpstream.onEnded();
            mPieces.forEach(
                    piece -> mUpstream.resultMemory().unreserve(piece.work().resultBytes()));
        }
    }

    void onHandled(PendingPiece piece) {
        mUnhandled.remove(piece);
    }

    /** Returns the pieces that were not handled, in their order, and considers them handled. */
    List<PendingPiece> takeUnhandled() {
        List<PendingPiece> unhandled = new ArrayList<>(mPieces);
        unhandled.removeIf(piece -> !mUnhandled.contains(piece) || piece.isCancelled());
        mUnhandled.clear();
        return unhandled;
    }
}
