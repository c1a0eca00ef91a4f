package org.boragethread.core.stage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/** How the pieces of one group share its upstreams. Not thread-safe. */
public interface StagePolicy {

    /**
     * Observes the present state. Called before each submission and dispatch, also if no piece is
     * pending, to distinguish idle time from load.
     *
     * @param pending pieces that are pending
     * @param upstreams returns the upstreams that may be called
     */
    void observe(
            List<PendingPiece> pending,
            Supplier<List<UpstreamNode>> upstreams,
            BatchLimits limits,
            long now);

    /** Returns how long work takes at an upstream now, as a multiple of the usual time. */
    double timeFactor(UpstreamNode upstream, long now);

    /**
     * Returns the expected time until a new stage would start, if it would then end too late. It
     * has no effect on the order of other stages.
     *
     * @param pieces pieces of the stage
     * @param pending pieces that are pending already
     * @param upstreams returns the upstreams that may be called
     * @param availableAt monotonic time at which an upstream can start another call
     */
    Optional<Duration> findHopelessDelay(
            List<PendingPiece> pieces,
            List<PendingPiece> pending,
            Supplier<List<UpstreamNode>> upstreams,
            BatchLimits limits,
            ToLongFunction<UpstreamNode> availableAt,
            long now);

    /** Called when a new stage was rejected since it would end too late. */
    void onRejected(List<PendingPiece> pieces, Duration delay);

    /**
     * Returns pending pieces in the order in which they should be sent; those of one stage are next
     * to each other.
     */
    List<PendingPiece> order(List<PendingPiece> pending, BatchLimits limits, long now);

    /**
     * Returns whether the result of a piece would come too late to be useful.
     *
     * @param pending number of pending pieces, this one included
     * @param earliestStart returns the monotonic time at which an upstream can start another call
     */
    boolean cannotMeetDeadline(
            PendingPiece piece,
            int pending,
            BatchLimits limits,
            long now,
            LongSupplier earliestStart);

    /**
     * Prepares a dispatch of pieces.
     *
     * @param ordered all pending pieces in their order
     * @param upstreams upstreams that may be called
     */
    void beginDispatch(
            List<PendingPiece> ordered, List<UpstreamNode> upstreams, BatchLimits limits, long now);

    /**
     * Returns whether pieces of one stage may be sent to an upstream that has memory for them.
     *
     * @param first first of the pieces
     * @param bytes size of their results
     */
    boolean mayUse(UpstreamNode upstream, PendingPiece first, long bytes);

    /** Called when pieces were selected for a call. */
    void onSelected(UpstreamNode upstream, List<PendingPiece> batch, BatchLimits limits);
}
