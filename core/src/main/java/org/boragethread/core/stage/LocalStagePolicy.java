package org.boragethread.core.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/** Serves the most urgent pieces that fit, at upstreams that are assumed to be equally fast. */
public final class LocalStagePolicy implements StagePolicy {

    @Override
    public void observe(
            List<PendingPiece> pending,
            Supplier<List<UpstreamNode>> upstreams,
            BatchLimits limits,
            long now) {}

    @Override
    public double timeFactor(UpstreamNode upstream, long now) {
        return 1;
    }

    @Override
    public Optional<Duration> findHopelessDelay(
            List<PendingPiece> pieces,
            List<PendingPiece> pending,
            Supplier<List<UpstreamNode>> upstreams,
            BatchLimits limits,
            ToLongFunction<UpstreamNode> availableAt,
            long now) {
        return Optional.empty();
    }

    @Override
    public void onRejected(List<PendingPiece> pieces, Duration delay) {}

    @Override
    public List<PendingPiece> order(List<PendingPiece> pending, BatchLimits limits, long now) {
        long callNanos = limits.expectedTime(1).toNanos();
        List<PendingPiece> ordered = new ArrayList<>(pending);
        ordered.sort(
                Comparator.comparingDouble(
                                (PendingPiece piece) -> piece.effectivePriority(now, callNanos))
                        .thenComparingLong(piece -> piece.urgency().targetNanos()));
        return ordered;
    }

    @Override
    public boolean cannotMeetDeadline(
            PendingPiece piece,
            int pending,
            BatchLimits limits,
            long now,
            LongSupplier earliestStart) {
        return piece.cannotMeetDeadline(now, limits.expectedTime(1).toNanos());
    }

    @Override
    public void beginDispatch(
            List<PendingPiece> ordered,
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            long now) {}

    @Override
    public boolean mayUse(UpstreamNode upstream, PendingPiece first, long bytes) {
        return true;
    }

    @Override
    public void onSelected(UpstreamNode upstream, List<PendingPiece> batch, BatchLimits limits) {}
}
