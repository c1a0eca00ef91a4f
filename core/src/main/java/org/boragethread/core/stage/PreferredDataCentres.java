package org.boragethread.core.stage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.BatchLimits;

/**
 * Decides which pieces wait for an upstream in the data centre that will use their results. Moving
 * a large result costs less than a late response, so a piece waits only if it is then still in
 * time. Valid for one dispatch; pieces are presented in their scheduling order.
 */
final class PreferredDataCentres {

    /** A call may take longer than expected by this share. */
    private static final double TIME_TOLERANCE = 0.1;

    /**
     * Longest wait of a piece, as a share of the time of a full call. While it waits, the capacity
     * of upstreams in other data centres may be unused.
     */
    private static final double MAX_WAIT_CALLS = 0.75;

    /** Longest wait of a piece whose request will be late wherever the piece is executed. */
    private static final double MAX_LATE_WAIT_CALLS = 0.4;

    /**
     * Share of the time until the target that is kept for delays after the stage, such as those of
     * the engine.
     */
    private static final double SPARE_TIME_SHARE = 0.3;

    private final List<UpstreamNode> mUpstreams;
    private final BatchLimits mLimits;
    private final ToLongFunction<UpstreamNode> mAvailableAt;
    private final long mNow;
    private final long mCallNanos;
    private final long mPieceNanos;
    private final long mFullCallNanos;
    private final Map<DataCentreId, Integer> mPiecesAhead = new HashMap<>();
    private final Map<DataCentreId, Availability> mAvailabilities = new HashMap<>();
    private int mAnywhereAhead;

    /**
     * Creates a table without pieces.
     *
     * @param availableAt monotonic time at which an upstream can start another call
     * @param now monotonic time of the dispatch
     */
    PreferredDataCentres(
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            ToLongFunction<UpstreamNode> availableAt,
            long now) {
        mUpstreams = upstreams;
        mLimits = limits;
        mAvailableAt = availableAt;
        mNow = now;
        mCallNanos = limits.callTime().toNanos();
        mPieceNanos = limits.pieceTime().toNanos();
        mFullCallNanos = limits.expectedTime(limits.batch()).toNanos();
    }

    /**
     * Counts pieces that are sent before those presented later.
     *
     * @param first first of the pieces, which belong to one stage of one request
     */
    void addPiecesAhead(PendingPiece first, int pieces) {
        if (first.preferred().isPresent()) {
            mPiecesAhead.merge(first.preferred().get(), pieces, Integer::sum);
        } else {
            mAnywhereAhead += pieces;
        }
    }

    /**
     * Returns whether pieces should wait although the given upstream could take them now.
     *
     * @param first first of the pieces, which belong to one stage of one request
     */
    boolean shouldWait(PendingPiece first, int pieces, UpstreamNode upstream) {
        Optional<DataCentreId> preferred = first.preferred();
        if (preferred.isEmpty() || upstream.entry().dataCentre().equals(preferred.get())) {
            return false;
        }
        return shouldWaitFor(preferred.get(), first, pieces);
    }

    private boolean shouldWaitFor(DataCentreId preferred, PendingPiece first, int pieces) {
        Availability available =
                first.hasFailed()
                        ? availability(preferred, first)
                        : mAvailabilities.computeIfAbsent(
                                preferred, dataCentre -> availability(dataCentre, first));
        int usable = available.upstreams();
        if (usable == 0) {
            return false;
        }
        int ahead =
                mPiecesAhead.getOrDefault(preferred, 0)
                        + mAnywhereAhead * usable / mUpstreams.size();
        int callsAhead = (ahead + pieces - 1) / (mLimits.batch() * usable);
        int piecesInCall = Math.min(mLimits.batch(), ahead % mLimits.batch() + pieces);
        long callTime = mCallNanos + piecesInCall * mPieceNanos;
        long end =
                available.start()
                        + callsAhead * mFullCallNanos
                        + (long) (callTime * (1 + TIME_TOLERANCE));
        long target = first.urgency().targetNanos();
        long waited = mNow - first.submittedAt();
        if (mNow + callTime > target) {
            return waited < mFullCallNanos * MAX_LATE_WAIT_CALLS;
        }
        long spare = (long) (SPARE_TIME_SHARE * (target - first.submittedAt()));
        return end + spare <= target && waited < mFullCallNanos * MAX_WAIT_CALLS;
    }

    /** Returns when and how many upstreams of a data centre can execute a piece. */
    private Availability availability(DataCentreId dataCentre, PendingPiece piece) {
        long start = Long.MAX_VALUE;
        int upstreams = 0;
        for (UpstreamNode upstream : mUpstreams) {
            if (upstream.entry().dataCentre().equals(dataCentre)
                    && !upstream.isAvoided(mNow)
                    && !piece.failedAt(upstream)) {
                upstreams++;
                start = Math.min(start, Math.max(mNow, mAvailableAt.applyAsLong(upstream)));
            }
        }
        return new Availability(start, upstreams);
    }

    /**
     * The upstreams of one data centre that can be used.
     *
     * @param start monotonic time in nanoseconds at which the first of them can start a call
     * @param upstreams their number
     */
    private record Availability(long start, int upstreams) {}
}
