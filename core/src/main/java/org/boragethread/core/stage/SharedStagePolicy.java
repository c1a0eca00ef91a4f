package org.boragethread.core.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/**
 * Shares the upstreams of a large group among the requests of many teams. Stages in time precede
 * late ones, then priority counts, then the latest start, while teams get equal shares. One batch
 * in eight is led by the stage that has waited longest, and memory is reserved for stages that fit
 * nowhere, so that no priority and no size is passed until its callers give up.
 */
public final class SharedStagePolicy implements StagePolicy {

    /** One of this number of batches is led by the stage that has waited longest. */
    private static final int BATCHES_PER_TURN = 8;

    /** Share of an upstream's memory that is free again and again even while it is called full. */
    private static final double SMALL_MEMORY_SHARE = 0.01;

    /** A call may take longer than expected by this share. */
    private static final double TIME_TOLERANCE = 0.2;

    /** Age up to which an order is used again; the clock goes on within one submission. */
    private static final long MAX_ORDER_AGE_NANOS = 1_000_000;

    private final StageObserver mObserver;
    private final MemoryReservations mReservations;
    private final MemoryTurnover mTurnover = new MemoryTurnover();
    private final LateShare mLateShare = new LateShare();
    private TeamShares mTeams = new TeamShares();
    private Map<PendingStage.Key, Integer> mRanks = Map.of();
    private Set<PendingStage.Key> mLate = Set.of();
    private Optional<PendingStage.Key> mTurn = Optional.empty();
    private Optional<Ordering> mProposed = Optional.empty();
    private int mBatchesSinceTurn;

    /** Creates the policy of one group. */
    public SharedStagePolicy(StageObserver observer) {
        mObserver = observer;
        mReservations = new MemoryReservations(observer);
    }

    @Override
    public void observe(
            List<PendingPiece> pending,
            Supplier<List<UpstreamNode>> upstreams,
            BatchLimits limits,
            long now) {
        long usedBytes = StageStartEstimate.usedBytes(upstreams.get(), now);
        mTurnover.update(usedBytes, limits.resultTime(), now);
        mLateShare.update(isInTimeWaiting(pending, now), now);
        if (pending.isEmpty()) {
            mTeams.setWaiting(Set.of());
        }
    }

    @Override
    public double timeFactor(UpstreamNode upstream, long now) {
        return upstream.timeFactor(now);
    }

    private boolean isInTimeWaiting(List<PendingPiece> pending, long now) {
        return pending.stream()
                .filter(piece -> piece.submittedAt() < now)
                .anyMatch(piece -> !mLate.contains(PendingStage.Key.of(piece)));
    }

    /**
     * Stages that have inputs, continue a stream or are retried have begun, and are finished if
     * they can be.
     */
    @Override
    public Optional<Duration> findHopelessDelay(
            List<PendingPiece> pieces,
            List<PendingPiece> pending,
            Supplier<List<UpstreamNode>> upstreams,
            BatchLimits limits,
            ToLongFunction<UpstreamNode> availableAt,
            long now) {
        PendingPiece first = pieces.get(0);
        boolean hasBegun =
                first.work().inputs().isPresent()
                        || first.urgency().isContinuation()
                        || first.hasFailed();
        if (hasBegun || upstreams.get().isEmpty()) {
            return Optional.empty();
        }
        StageStartEstimate estimate =
                new StageStartEstimate(upstreams.get(), limits, availableAt, now);
        long start = nanosUntilStart(pieces, pending, estimate, limits, now);
        int callPieces = Math.min(pieces.size(), limits.batch());
        long end = now + start + limits.expectedTime(callPieces).toNanos();
        if (end < first.work().deadlineNanos()) {
            return Optional.empty();
        }
        // A retry has a target of its own and is late again only behind what waits now. What has
        // arrived by then takes a call at least, and zero would be read as no delay.
        WorkAhead queue = new WorkAhead();
        pending.forEach(queue::add);
        pieces.forEach(queue::add);
        long queueNanos = queue.nanosUntilStart(estimate, residence(pieces, limits));
        long fullCall = limits.expectedTime(limits.batch()).toNanos();
        return Optional.of(Duration.ofNanos(Math.max(queueNanos, fullCall)));
    }

    @Override
    public void onRejected(List<PendingPiece> pieces, Duration delay) {
        mProposed = Optional.empty();
        mObserver.onRejected(pieces.get(0).work(), pieces.size(), delay);
    }

    /**
     * Returns the expected time until a new stage starts at its rank. If it would then end after
     * its target, it will rank as late before it starts, and only gets the share of late stages.
     */
    private long nanosUntilStart(
            List<PendingPiece> pieces,
            List<PendingPiece> pending,
            StageStartEstimate estimate,
            BatchLimits limits,
            long now) {
        List<PendingPiece> all = new ArrayList<>(pending);
        all.addAll(pieces);
        WorkAhead ahead = new WorkAhead();
        WorkAhead inTime = new WorkAhead();
        WorkAhead late = new WorkAhead();
        PendingStage.Key key = PendingStage.Key.of(pieces.get(0));
        boolean reached = false;
        Ordering ordering = arrange(all, limits, now);
        mProposed = Optional.of(ordering);
        for (PendingPiece piece : ordering.pieces()) {
            boolean own = PendingStage.Key.of(piece).equals(key);
            reached |= own;
            if (own || !reached) {
                ahead.add(piece);
            }
            boolean isLate = own || ordering.late().contains(PendingStage.Key.of(piece));
            (isLate ? late : inTime).add(piece);
        }
        OptionalDouble residence = residence(pieces, limits);
        long start = ahead.nanosUntilStart(estimate, residence);
        boolean isInTime =
                !ordering.late().contains(key)
                        && now + start <= latestStart(new PendingStage(pieces), limits);
        if (isInTime) {
            return start;
        }
        double lateNanos =
                estimate.nanosToServe(late.mPieces, late.mBytes, residence, mLateShare.get());
        return inTime.nanosUntilStart(estimate, residence) + (long) lateNanos;
    }

    private OptionalDouble residence(List<PendingPiece> pieces, BatchLimits limits) {
        return isSmall(pieces, limits) ? OptionalDouble.empty() : mTurnover.residenceNanos();
    }

    /** Uses the order that was found for a new stage if nothing has changed since. */
    @Override
    public List<PendingPiece> order(List<PendingPiece> pending, BatchLimits limits, long now) {
        Ordering ordering =
                mProposed
                        .filter(proposed -> proposed.isOf(pending, now))
                        .orElseGet(() -> arrange(pending, limits, now));
        mProposed = Optional.empty();
        mTeams = ordering.teams();
        mLate = ordering.late();
        mTurn = ordering.turn();
        return ordering.pieces();
    }

    private Ordering arrange(List<PendingPiece> pending, BatchLimits limits, long now) {
        List<PendingStage> stages = PendingStage.group(pending);
        TeamShares teams =
                mTeams.withWaiting(
                        stages.stream()
                                .map(stage -> stage.first().urgency().team())
                                .collect(Collectors.toSet()));
        Set<PendingStage.Key> late =
                stages.stream()
                        .filter(stage -> isLate(stage, limits, now))
                        .map(PendingStage::key)
                        .collect(Collectors.toSet());
        Optional<PendingStage.Key> turn = findTurn(stages, late);
        Map<Rank, List<PendingStage>> byRank = new TreeMap<>();
        stages.stream()
                .sorted(Comparator.comparingLong(stage -> latestStart(stage, limits)))
                .forEach(
                        stage ->
                                byRank.computeIfAbsent(
                                                rank(stage, late, turn), key -> new ArrayList<>())
                                        .add(stage));
        List<PendingPiece> ordered = new ArrayList<>();
        for (List<PendingStage> equals : byRank.values()) {
            teams.arrange(equals, limits).forEach(stage -> ordered.addAll(stage.pieces()));
        }
        return new Ordering(List.copyOf(pending), now, ordered, teams, late, turn);
    }

    /** Chooses the stage that leads the next batch, if it is time for the longest waiting one. */
    private Optional<PendingStage.Key> findTurn(
            List<PendingStage> stages, Set<PendingStage.Key> late) {
        Optional<PendingStage.Key> present =
                mTurn.filter(
                        turn ->
                                !late.contains(turn)
                                        && stages.stream()
                                                .anyMatch(stage -> stage.key().equals(turn)));
        if (present.isPresent() || mBatchesSinceTurn < BATCHES_PER_TURN - 1) {
            return present;
        }
        return stages.stream()
                .filter(stage -> !late.contains(stage.key()))
                .min(Comparator.comparingLong(stage -> stage.first().submittedAt()))
                .map(PendingStage::key);
    }

    private static Rank rank(
            PendingStage stage, Set<PendingStage.Key> late, Optional<PendingStage.Key> turn) {
        PieceUrgency urgency = stage.first().urgency();
        if (stage.pieces().stream().anyMatch(PendingPiece::isStagePartlySent)) {
            return new Rank(RankClass.PARTLY_SENT, 0);
        }
        if (turn.isPresent() && turn.get().equals(stage.key())) {
            return new Rank(RankClass.TURN, 0);
        }
        boolean isLate = late.contains(stage.key());
        return new Rank(isLate ? RankClass.LATE : RankClass.IN_TIME, urgency.priority());
    }

    /**
     * Returns whether a stage will miss its target. The time is that of calls with one piece: with
     * the time of full calls, stages that were still in time yielded and became late.
     */
    private static boolean isLate(PendingStage stage, BatchLimits limits, long now) {
        PieceUrgency urgency = stage.first().urgency();
        long required = urgency.requiredCalls() * limits.expectedTime(1).toNanos();
        return !urgency.isContinuation() && now + required > urgency.targetNanos();
    }

    /** Returns whether results find memory beside those that wait for it. */
    private static boolean isSmall(List<PendingPiece> pieces, BatchLimits limits) {
        long bytes = new PendingStage(pieces).callBytes(limits);
        return bytes <= limits.resultBytes() * SMALL_MEMORY_SHARE;
    }

    /** Returns the monotonic time by which a stage should start, by its work. */
    private static long latestStart(PendingStage stage, BatchLimits limits) {
        PieceUrgency urgency = stage.first().urgency();
        int pieces = Math.min(stage.pieces().size(), limits.batch());
        long own = limits.expectedTime(pieces).toNanos();
        long reserve = (urgency.requiredCalls() - 1) * limits.expectedTime(1).toNanos();
        return urgency.targetNanos() - own - reserve;
    }

    /**
     * A piece that has waited shares its call with those that are pending too, up to a full call.
     */
    @Override
    public boolean cannotMeetDeadline(
            PendingPiece piece,
            int pending,
            BatchLimits limits,
            long now,
            LongSupplier earliestStart) {
        int pieces = now > piece.submittedAt() ? Math.min(limits.batch(), pending) : 1;
        double call = limits.expectedTime(pieces).toNanos() * (1 + TIME_TOLERANCE);
        long end = earliestStart.getAsLong() + (long) call;
        return end >= piece.work().deadlineNanos();
    }

    @Override
    public void beginDispatch(
            List<PendingPiece> ordered,
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            long now) {
        List<PendingStage> stages = PendingStage.group(ordered);
        mRanks = new HashMap<>();
        stages.forEach(stage -> mRanks.put(stage.key(), mRanks.size()));
        List<PendingStage> inTime =
                stages.stream().filter(stage -> !mLate.contains(stage.key())).toList();
        mReservations.update(inTime, mRanks, upstreams, limits, now);
    }

    @Override
    public boolean mayUse(UpstreamNode upstream, PendingPiece first, long bytes) {
        int rank = mRanks.getOrDefault(PendingStage.Key.of(first), Integer.MAX_VALUE);
        return mReservations.allows(upstream, first, bytes, rank);
    }

    @Override
    public void onSelected(UpstreamNode upstream, List<PendingPiece> batch, BatchLimits limits) {
        mProposed = Optional.empty();
        mTeams.onSent(batch, limits);
        for (PendingPiece piece : batch) {
            mTurnover.onSent(piece.work().resultBytes());
            if (!mLate.isEmpty()) {
                boolean late = mLate.contains(PendingStage.Key.of(piece));
                mLateShare.onSent(TeamShares.work(piece, limits), late);
            }
        }
        mReservations.onSent(upstream, batch);
        mBatchesSinceTurn++;
        boolean wasTurn =
                mTurn.isPresent()
                        && batch.stream()
                                .anyMatch(piece -> PendingStage.Key.of(piece).equals(mTurn.get()));
        if (wasTurn) {
            mTurn = Optional.empty();
            mBatchesSinceTurn = 0;
        }
    }

    /**
     * An order of pending pieces.
     *
     * @param pending the pieces as they were given
     * @param now monotonic time for which it holds
     * @param pieces the pieces in their order
     * @param teams shares of the teams that have pieces among them
     * @param late stages that will miss their targets
     * @param turn stage that leads the next batch since it has waited longest
     */
    private record Ordering(
            List<PendingPiece> pending,
            long now,
            List<PendingPiece> pieces,
            TeamShares teams,
            Set<PendingStage.Key> late,
            Optional<PendingStage.Key> turn) {

        boolean isOf(List<PendingPiece> others, long time) {
            return time - now <= MAX_ORDER_AGE_NANOS && pending.equals(others);
        }
    }

    /** An amount of work. */
    private static final class WorkAhead {

        private int mPieces;
        private long mBytes;

        void add(PendingPiece piece) {
            mPieces++;
            mBytes += piece.work().resultBytes();
        }

        long nanosUntilStart(StageStartEstimate estimate, OptionalDouble residence) {
            return estimate.nanosUntilStart(mPieces, mBytes, residence);
        }
    }

    /** What goes first, whatever the priority. */
    private enum RankClass {
        PARTLY_SENT,
        TURN,
        IN_TIME,
        LATE
    }

    private record Rank(RankClass rankClass, int priority) implements Comparable<Rank> {

        private static final Comparator<Rank> ORDER =
                Comparator.comparing(Rank::rankClass).thenComparingInt(Rank::priority);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }
}
