package org.boragethread.core.stage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.BatchLimits;

/**
 * Makes the pieces of one upstream group. This process has one call at a time at each upstream, so
 * that pieces which arrive meanwhile share the next call. Not safe for use by several threads.
 */
public final class BatchScheduler {

    /** Time after which a piece no longer waits for an upstream in its preferred data centre. */
    private static final long PLACE_PATIENCE_NANOS = Duration.ofMillis(250).toNanos();

    /** With less time than this to spare a piece waits for its place for a short time only. */
    private static final long PLACE_SLACK_NANOS = Duration.ofMillis(800).toNanos();

    private static final long SHORT_PATIENCE_NANOS = Duration.ofMillis(120).toNanos();

    /**
     * Time for which memory that others seem to occupy is taken to be occupied: two calls, after
     * which their results are often freed.
     */
    private static final long UNKNOWN_RESULTS_NANOS = Duration.ofMillis(600).toNanos();

    /** Pause before a piece whose call failed is tried again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(60);

    /** Pause before a call is repeated that the retry budget does not cover. */
    private static final Duration OVER_BUDGET_PAUSE = Duration.ofMillis(400);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** Sizes of results are approximate, so a part of the memory is left free. */
    private static final double USABLE_ROOM = 0.96;

    /** An answer that takes longer than this multiple of the expected time is given up. */
    private static final double TIMEOUT_FACTOR = 5;

    private static final Duration TIMEOUT_BASE = Duration.ofMillis(400);

    /** Time for a call to reach an upstream over a new connection. */
    private static final long CALL_OVERHEAD_NANOS = Duration.ofMillis(8).toNanos();

    private static final int MAX_TRIES = 4;

    /** Time for which an upstream of another process's address is not called. */
    private static final long MISDIRECTED_NANOS = Duration.ofSeconds(5).toNanos();

    private final BatchGroup mGroup;
    private final PieceCaller mCaller;
    private final SharedRetryBudget mBudget;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final List<PendingPiece> mPending = new ArrayList<>();
    private final Map<UpstreamNode, Long> mExpectedEnds = new HashMap<>();
    private boolean mPolling;

    /** Makes a scheduler for one group. */
    public BatchScheduler(
            BatchGroup group,
            PieceCaller caller,
            SharedRetryBudget budget,
            Scheduler scheduler,
            TimeSource time) {
        mGroup = group;
        mCaller = caller;
        mBudget = budget;
        mScheduler = scheduler;
        mTime = time;
    }

    /** Adds the pieces of one stage of one request. Each learns of its fate once. */
    public void submit(List<PendingPiece> pieces) {
        mPending.addAll(pieces);
        dispatch();
    }

    /** Returns the time that a stage of the given size takes when nothing waits, in nanoseconds. */
    public long leastTime(int pieces) {
        Optional<BatchLimits> limits = mGroup.limits();
        return limits.isEmpty()
                ? 0
                : limits.get().expectedTime(Math.min(pieces, limits.get().batch())).toNanos();
    }

    /** Returns the time for which upstreams keep a result that is not freed, if it is known. */
    public Optional<Duration> resultTime() {
        return mGroup.limits().map(BatchLimits::resultTime);
    }

    private void hold(UpstreamNode upstream, String handle, long bytes) {
        long kept = resultTime().orElse(Duration.ZERO).toNanos();
        upstream.results().hold(handle, bytes, mTime.nanoTime() + kept);
    }

    /** Sends what can be sent now. */
    public void dispatch() {
        dropEnded();
        if (mPending.isEmpty()) {
            return;
        }
        long now = mTime.nanoTime();
        long own = leastTime(1);
        mPending.sort(
                Comparator.comparingDouble((PendingPiece piece) -> piece.rank(now, own))
                        .thenComparingLong(piece -> piece.urgency().targetNanos()));
        Optional<BatchLimits> limits = mGroup.limits();
        if (limits.isEmpty()) {
            failAll(StageFailure.Kind.NO_UPSTREAM);
            return;
        }
        List<UpstreamNode> upstreams = mGroup.upstreams();
        for (UpstreamNode upstream : upstreams) {
            if (mPending.isEmpty()) {
                return;
            }
            if (isFree(upstream, limits.get(), now)) {
                List<PendingPiece> batch = take(upstream, upstreams, limits.get());
                if (!batch.isEmpty()) {
                    send(upstream, batch, limits.get());
                }
            }
        }
        pollLater();
    }

    /** An upstream is free for a call that would arrive just when the one before it ends. */
    private boolean isFree(UpstreamNode upstream, BatchLimits limits, long now) {
        if (now + CALL_OVERHEAD_NANOS < upstream.busyUntil()) {
            return false;
        }
        if (upstream.inFlight() < limits.slots()) {
            return true;
        }
        Long end = mExpectedEnds.get(upstream);
        boolean soon = end != null && now > end - CALL_OVERHEAD_NANOS;
        return soon && upstream.inFlight() == limits.slots() && limits.queue() > 0;
    }

    /**
     * Takes the most urgent pieces that should be made by the given upstream. The pieces of one
     * stage of a request stay together if they fit one call: the stage ends with its last piece,
     * and until then the others occupy memory for nothing.
     */
    private List<PendingPiece> take(
            UpstreamNode upstream, List<UpstreamNode> upstreams, BatchLimits limits) {
        List<PendingPiece> batch = new ArrayList<>();
        long held = upstream.results().bytes(mTime.nanoTime());
        long room = usableBytes(limits) - held;
        boolean fill = isBacklogged(upstreams, limits);
        int next = 0;
        while (next < mPending.size() && batch.size() < limits.batch()) {
            List<PendingPiece> stage = sameStage(next);
            next += stage.size();
            stage.removeIf(piece -> !isFor(piece, upstream, upstreams));
            if (stage.isEmpty()) {
                continue;
            }
            int size = Math.min(stage.size(), limits.batch());
            int free = limits.batch() - batch.size();
            int taken = Math.min(size, free);
            long bytes = taken * stage.get(0).work().resultBytes();
            boolean fits = bytes <= room || held == 0 && batch.isEmpty();
            if (fits && (size <= free || fill)) {
                batch.addAll(stage.subList(0, taken));
                stage.subList(taken, stage.size()).forEach(PendingPiece::setAwaited);
                room -= bytes;
            }
        }
        mPending.removeAll(batch);
        return batch;
    }

    private static long usableBytes(BatchLimits limits) {
        return (long) (limits.resultBytes() * USABLE_ROOM);
    }

    /** Tells whether more pieces wait than free upstreams take; then calls had better be full. */
    private boolean isBacklogged(List<UpstreamNode> upstreams, BatchLimits limits) {
        long now = mTime.nanoTime();
        long free = upstreams.stream().filter(node -> isFree(node, limits, now)).count();
        return mPending.size() > free * limits.batch();
    }

    /** Returns the pending pieces of one stage of one request, which are next to each other. */
    private List<PendingPiece> sameStage(int from) {
        List<PendingPiece> stage = new ArrayList<>();
        PieceListener owner = mPending.get(from).listener();
        int number = mPending.get(from).work().stage();
        for (int i = from; i < mPending.size(); i++) {
            PendingPiece piece = mPending.get(i);
            if (piece.listener() != owner || piece.work().stage() != number) {
                break;
            }
            stage.add(piece);
        }
        return stage;
    }

    private boolean isFor(PendingPiece piece, UpstreamNode upstream, List<UpstreamNode> upstreams) {
        if (piece.failedAt(upstream) && upstreams.size() > 1) {
            return false;
        }
        if (piece.preferred().isEmpty()) {
            return true;
        }
        DataCentreId preferred = piece.preferred().get();
        if (upstream.entry().dataCentre().equals(preferred)) {
            return true;
        }
        long now = mTime.nanoTime();
        boolean anyThere = false;
        for (UpstreamNode other : upstreams) {
            anyThere |=
                    other.entry().dataCentre().equals(preferred)
                            && !other.isAvoided(now)
                            && !piece.failedAt(other);
        }
        return !anyThere || now - piece.since() > placePatience(piece, now);
    }

    private long placePatience(PendingPiece piece, long now) {
        long slack = piece.urgency().targetNanos() - now - leastTime(1);
        return slack < PLACE_SLACK_NANOS ? SHORT_PATIENCE_NANOS : PLACE_PATIENCE_NANOS;
    }

    private void send(UpstreamNode upstream, List<PendingPiece> batch, BatchLimits limits) {
        List<PieceWork> work = new ArrayList<>();
        long latest = Long.MIN_VALUE;
        for (PendingPiece piece : batch) {
            work.add(piece.work());
            latest = Math.max(latest, piece.work().deadlineNanos());
            upstream.results().plan(piece.work().resultBytes());
        }
        long now = mTime.nanoTime();
        Duration expected = limits.expectedTime(batch.size());
        long most = (long) (expected.toNanos() * TIMEOUT_FACTOR) + TIMEOUT_BASE.toNanos();
        Duration timeout = Duration.ofNanos(Math.max(1, Math.min(most, latest - now)));
        mExpectedEnds.put(
                upstream,
                Math.max(now, mExpectedEnds.getOrDefault(upstream, now)) + expected.toNanos());
        dispatchAt(expected.toNanos() - CALL_OVERHEAD_NANOS);
        mBudget.onFirstCall();
        upstream.onSent(now);
        mCaller.make(
                upstream,
                work,
                timeout,
                answer -> onAnswer(upstream, batch, expected, now, answer));
    }

    private void onAnswer(
            UpstreamNode upstream,
            List<PendingPiece> batch,
            Duration expected,
            long sentAt,
            Either<BatchFailure, BatchAnswer> answer) {
        upstream.onEnded();
        if (upstream.inFlight() == 0) {
            mExpectedEnds.remove(upstream);
        }
        batch.forEach(piece -> upstream.results().unplan(piece.work().resultBytes()));
        if (answer.isLeft()) {
            onFailure(upstream, batch, expected, answer.getLeft());
        } else {
            learn(upstream, expected, sentAt, answer.get());
            settle(upstream, batch, answer.get().results());
        }
        dispatch();
    }

    private void learn(UpstreamNode upstream, Duration expected, long sentAt, BatchAnswer answer) {
        long now = mTime.nanoTime();
        upstream.onAnswer((now - sentAt) / (double) expected.toNanos());
        int others = Math.max(0, answer.waiting().orElse(0) - upstream.inFlight());
        upstream.setBusyUntil(now + others * expected.toNanos());
    }

    private void settle(
            UpstreamNode upstream, List<PendingPiece> batch, List<PieceResult> results) {
        List<PendingPiece> withoutRoom = new ArrayList<>();
        for (int i = 0; i < batch.size(); i++) {
            PendingPiece piece = batch.get(i);
            boolean full = results.get(i).isFailure(PieceResult.Failure.OUT_OF_MEMORY);
            if (!full) {
                settle(upstream, piece, results.get(i));
            } else if (!piece.isCancelled()) {
                withoutRoom.add(piece);
            }
        }
        if (!withoutRoom.isEmpty()) {
            onFull(upstream, withoutRoom);
        }
    }

    private void settle(UpstreamNode upstream, PendingPiece piece, PieceResult result) {
        if (result.handle().isPresent()) {
            String handle = result.handle().get();
            hold(upstream, handle, piece.work().resultBytes());
            if (piece.isCancelled()) {
                mCaller.free(upstream, List.of(handle));
            } else {
                piece.listener().onMade(piece.work(), new MadePiece(handle, upstream.entry().id()));
            }
            return;
        }
        if (piece.isCancelled()) {
            return;
        }
        switch (result.failure().orElse(PieceResult.Failure.ERROR)) {
            case DEADLINE_EXCEEDED -> fail(piece, StageFailure.Kind.DEADLINE);
            case INPUT_MISSING -> fail(piece, StageFailure.Kind.INPUT_MISSING);
            default -> retry(upstream, piece, true, RETRY_PAUSE);
        }
    }

    /**
     * Sizes are approximate, and other processes may have results made, so an upstream may be full
     * although its memory seems to have room. Its other pieces wait until something is freed there.
     */
    private void onFull(UpstreamNode upstream, List<PendingPiece> withoutRoom) {
        long now = mTime.nanoTime();
        long capacity = mGroup.limits().map(BatchScheduler::usableBytes).orElse(0L);
        upstream.results().assumeFull(capacity, now, now + UNKNOWN_RESULTS_NANOS);
        withoutRoom.forEach(PendingPiece::setAwaited);
        mPending.addAll(withoutRoom);
    }

    private void onFailure(
            UpstreamNode upstream,
            List<PendingPiece> batch,
            Duration expected,
            BatchFailure failure) {
        long now = mTime.nanoTime();
        switch (failure.kind()) {
            case REJECTED -> upstream.setBusyUntil(now + expected.toNanos());
            case MISDIRECTED -> upstream.avoidUntil(now + MISDIRECTED_NANOS);
            default -> upstream.onFailure(now, false, Duration.ZERO);
        }
        boolean executed = failure.kind() == BatchFailure.Kind.BROKEN;
        Duration pause = mBudget.tryTake() ? RETRY_PAUSE : OVER_BUDGET_PAUSE;
        for (PendingPiece piece : batch) {
            if (!piece.isCancelled()) {
                retry(upstream, piece, executed, pause);
            }
        }
    }

    /** A piece that no upstream worked on is tried until its time is over, others a few times. */
    private void retry(
            UpstreamNode upstream, PendingPiece piece, boolean executed, Duration pause) {
        piece.setFailedAt(upstream);
        if (executed) {
            piece.onTry();
        }
        if (piece.tries() >= MAX_TRIES) {
            fail(piece, StageFailure.Kind.FAILED);
            return;
        }
        mScheduler.schedule(pause, () -> submit(List.of(piece)));
    }

    private void fail(PendingPiece piece, StageFailure.Kind kind) {
        piece.listener().onFailed(piece.work(), new StageFailure(kind, mGroup.name()));
    }

    private void failAll(StageFailure.Kind kind) {
        List<PendingPiece> all = new ArrayList<>(mPending);
        mPending.clear();
        for (PendingPiece piece : all) {
            if (!piece.isCancelled()) {
                fail(piece, kind);
            }
        }
    }

    /** Forgets pieces that nobody waits for, and fails those that cannot be of use any more. */
    private void dropEnded() {
        mPending.removeIf(PendingPiece::isCancelled);
        long now = mTime.nanoTime();
        long own = leastTime(1);
        List<PendingPiece> late = new ArrayList<>();
        for (PendingPiece piece : mPending) {
            if (piece.isHopeless(now, own)) {
                late.add(piece);
            }
        }
        mPending.removeAll(late);
        late.forEach(piece -> fail(piece, StageFailure.Kind.DEADLINE));
    }

    private void dispatchAt(long delayNanos) {
        mScheduler.schedule(Duration.ofNanos(Math.max(0, delayNanos)), this::dispatch);
    }

    private void pollLater() {
        if (mPolling || mPending.isEmpty()) {
            return;
        }
        mPolling = true;
        mScheduler.schedule(
                POLL_INTERVAL,
                () -> {
                    mPolling = false;
                    dispatch();
                });
    }
}
