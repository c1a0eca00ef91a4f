package org.boragethread.core.stage;

import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToLongFunction;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/**
 * Estimates when a stage would start behind the pieces that precede it, at one upstream at least.
 */
final class StageStartEstimate {

    private final List<UpstreamNode> mUpstreams;
    private final BatchLimits mLimits;
    private final ToLongFunction<UpstreamNode> mAvailableAt;
    private final long mNow;

    /**
     * Creates an estimate for the present state of the upstreams.
     *
     * @param availableAt monotonic time at which an upstream can start another call
     */
    StageStartEstimate(
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            ToLongFunction<UpstreamNode> availableAt,
            long now) {
        mUpstreams = upstreams;
        mLimits = limits;
        mAvailableAt = availableAt;
        mNow = now;
    }

    /**
     * Returns the expected time until a stage starts, in nanoseconds: when calls have room for it
     * or memory is free for its results, whichever is later.
     *
     * @param pieces number of its pieces and of those that precede it
     * @param bytes size of the results of all these pieces
     * @param residence mean time that a result occupies memory, if it is known
     */
    long nanosUntilStart(int pieces, long bytes, OptionalDouble residence) {
        return Math.max(callNanos(pieces), memoryNanos(bytes, residence));
    }

    /**
     * Returns the time that pieces take with a share of the calls, in nanoseconds.
     *
     * @param callShare share of the calls that they get; memory that is free is theirs, as pieces
     *     that others pass wait for calls
     */
    double nanosToServe(int pieces, long bytes, OptionalDouble residence, double callShare) {
        double calls = pieces / (double) mLimits.batch() / callsPerNano();
        return Math.max(calls / callShare, bytes / usableBytes() * residence.orElse(0));
    }

    private double callsPerNano() {
        double fullCall = mLimits.expectedTime(mLimits.batch()).toNanos();
        return mUpstreams.stream()
                .mapToDouble(node -> mLimits.slots() / (fullCall * node.timeFactor(mNow)))
                .sum();
    }

    private long callNanos(int pieces) {
        double nanosUntilFree = 0;
        for (UpstreamNode upstream : mUpstreams) {
            double wait = Math.max(mNow, mAvailableAt.applyAsLong(upstream)) - mNow;
            nanosUntilFree += wait / mUpstreams.size();
        }
        double calls = Math.ceil(pieces / (double) mLimits.batch());
        double ahead = Math.max(0, calls - (double) mUpstreams.size() * mLimits.slots());
        return (long) (nanosUntilFree + ahead / callsPerNano());
    }

    private double usableBytes() {
        return BatchScheduler.usableBytes(mLimits) * (double) mUpstreams.size();
    }

    private long memoryNanos(long bytes, OptionalDouble residence) {
        double usable = usableBytes();
        long used = usedBytes(mUpstreams, mNow);
        if (residence.isEmpty() || used + bytes <= usable) {
            return 0;
        }
        return (long) ((used + bytes - usable) / usable * residence.getAsDouble());
    }

    static long usedBytes(List<UpstreamNode> upstreams, long now) {
        return upstreams.stream().mapToLong(node -> node.resultMemory().usedBytes(now)).sum();
    }
}
