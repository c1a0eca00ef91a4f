package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/** Selects the pieces of one call from the pending ones, which are in their scheduling order. */
final class BatchSelection {

    private final StagePolicy mPolicy;
    private final List<PendingPiece> mPending;
    private final List<UpstreamNode> mUpstreams;
    private final BatchLimits mLimits;
    private final ToLongFunction<UpstreamNode> mAvailableAt;
    private final long mNow;

    /**
     * Creates a selection.
     *
     * @param upstreams upstreams that may be called
     * @param availableAt monotonic time at which an upstream can start another call
     * @param now monotonic time of the dispatch
     */
    BatchSelection(
            StagePolicy policy,
            List<PendingPiece> pending,
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            ToLongFunction<UpstreamNode> availableAt,
            long now) {
        mPolicy = policy;
        mPending = pending;
        mUpstreams = upstreams;
        mLimits = limits;
        mAvailableAt = availableAt;
        mNow = now;
    }

    /**
     * Returns the most urgent pieces that an upstream should execute. Pieces of one stage of a
     * request stay together if they fit into one call: the stage ends with its last piece, and
     * until then the results of the others occupy memory without use.
     *
     * @param backlogged whether more pieces are pending than the available upstreams can take;
     *     batches are then filled, even if that splits a stage
     */
    List<PendingPiece> select(UpstreamNode upstream, boolean backlogged) {
        List<PendingPiece> batch = new ArrayList<>();
        long usedBytes = upstream.resultMemory().usedBytes(mNow);
        long freeBytes = BatchScheduler.usableBytes(mLimits) - usedBytes;
        PreferredDataCentres preferred =
                new PreferredDataCentres(mUpstreams, mLimits, mAvailableAt, mNow);
        int next = 0;
        while (next < mPending.size() && batch.size() < mLimits.batch()) {
            List<PendingPiece> stage = piecesOfSameStage(next);
            next += stage.size();
            int pieces = stage.size();
            PendingPiece first = stage.get(0);
            boolean waits = preferred.shouldWait(first, pieces, upstream);
            preferred.addPiecesAhead(first, pieces);
            stage.removeIf(piece -> waits || piece.failedAt(upstream) && mUpstreams.size() > 1);
            if (stage.isEmpty()) {
                continue;
            }
            int size = Math.min(stage.size(), mLimits.batch());
            int freePieces = mLimits.batch() - batch.size();
            int selected = Math.min(size, freePieces);
            long bytes = selected * first.work().resultBytes();
            boolean fitsMemory = bytes <= freeBytes || usedBytes == 0 && batch.isEmpty();
            if (fitsMemory
                    && (size <= freePieces || backlogged)
                    && mPolicy.mayUse(upstream, first, bytes)) {
                batch.addAll(stage.subList(0, selected));
                stage.subList(selected, stage.size()).forEach(PendingPiece::markStagePartlySent);
                freeBytes -= bytes;
            }
        }
        return batch;
    }

    /**
     * Returns the pending pieces from the given index on that belong to the same stage of the same
     * request. They are next to each other.
     */
    private List<PendingPiece> piecesOfSameStage(int from) {
        List<PendingPiece> pieces = new ArrayList<>();
        PendingStage.Key key = PendingStage.Key.of(mPending.get(from));
        for (int i = from; i < mPending.size(); i++) {
            PendingPiece piece = mPending.get(i);
            if (!PendingStage.Key.of(piece).equals(key)) {
                break;
            }
            pieces.add(piece);
        }
        return pieces;
    }
}
