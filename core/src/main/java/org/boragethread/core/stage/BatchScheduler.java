package org.boragethread.core.stage;

import io.vavr.Lazy;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/**
 * Sends the pieces of one upstream group in batches. The number of concurrent calls to an upstream
 * is limited, so that pieces submitted during a call share the next one. Listeners run for the
 * owner of callbacks that submitted their piece, so that one that throws does not cost other
 * requests their results. Not thread-safe.
 */
public final class BatchScheduler {

    /**
     * Number of full calls for which an upstream that ran out of memory unexpectedly is assumed to
     * be full. By then, the results of others are often freed.
     */
    private static final int ASSUMED_FULL_CALLS = 2;

    /** Delay before a piece whose call failed is retried, as a share of a full call. */
    private static final double RETRY_DELAY_CALLS = 0.2;

    /** Delay before a retry that the retry budget does not cover, as a share of a full call. */
    private static final double OVER_BUDGET_RETRY_DELAY_CALLS = 1.5;

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** Usable share of an upstream's result memory; sizes of results are approximate. */
    private static final double USABLE_MEMORY_SHARE = 0.96;

    /**
     * A call times out after this multiple of the time of a full call: the upstream may be several
     * times slower than usual, with one call ahead.
     */
    private static final double TIMEOUT_FACTOR = 6.5;

    /** Time for a call to reach an upstream over a new connection. */
    private static final long CALL_OVERHEAD_NANOS = Duration.ofMillis(8).toNanos();

    private static final int MAX_ATTEMPTS = 4;

    /** Time for which an upstream is not called after another process responded at its address. */
    private static final long MISDIRECTED_AVOIDANCE_NANOS = Duration.ofSeconds(5).toNanos();

    private final BatchGroup mGroup;
    private final BatchClient mBatchClient;
    private final SharedRetryBudget mRetryBudget;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final Supervisor mSupervisor;
    private final StagePolicy mPolicy;
    private final List<PendingPiece> mPending = new ArrayList<>();
    private final Map<UpstreamNode, Long> mExpectedEnds = new HashMap<>();
    private boolean mPollScheduled;

    /**
     * Creates a scheduler for one group.
     *
     * @param supervisor told of each callback that threw and that acts for no single piece
     */
    public BatchScheduler(
            BatchGroup group,
            BatchClient batchClient,
            SharedRetryBudget retryBudget,
            Scheduler scheduler,
            TimeSource time,
            Supervisor supervisor,
            StagePolicy policy) {
        mGroup = group;
        mBatchClient = batchClient;
        mRetryBudget = retryBudget;
        mScheduler = scheduler;
        mTime = time;
        mSupervisor = supervisor;
        mPolicy = policy;
    }

    /**
     * Adds the pieces of one stage of one request. The listener of each is notified of its outcome
     * once.
     */
    public void submit(List<PendingPiece> pieces) {
        CallbackGuard.Owner owner = mSupervisor.guard().current();
        pieces.forEach(piece -> piece.setOwner(owner));
        Lazy<List<UpstreamNode>> upstreams = Lazy.of(mGroup::upstreams);
        observe(upstreams);
        Optional<Duration> delay = findHopelessDelay(pieces, upstreams);
        if (delay.isPresent()) {
            mPolicy.onRejected(pieces, delay.get());
            StageFailure failure =
                    new StageFailure(StageFailure.Kind.DEADLINE, mGroup.name(), delay);
            pieces.forEach(piece -> fail(piece, failure));
            return;
        }
        mPending.addAll(pieces);
        dispatch();
    }

    private void observe(Supplier<List<UpstreamNode>> upstreams) {
        long now = mTime.nanoTime();
        mGroup.limits().ifPresent(limits -> mPolicy.observe(mPending, upstreams, limits, now));
    }

    private Optional<Duration> findHopelessDelay(
            List<PendingPiece> pieces, Supplier<List<UpstreamNode>> upstreams) {
        return mGroup.limits()
                .flatMap(
                        limits ->
                                mPolicy.findHopelessDelay(
                                        pieces,
                                        mPending,
                                        upstreams,
                                        limits,
                                        this::availableAt,
                                        mTime.nanoTime()));
    }

    /** Returns the time that a stage takes without queueing, in nanoseconds. */
    public long minTime(int pieces) {
        Optional<BatchLimits> limits = mGroup.limits();
        return limits.isEmpty()
                ? 0
                : limits.get().expectedTime(Math.min(pieces, limits.get().batch())).toNanos();
    }

    /** Returns the time after which upstreams drop a result that is not freed, if it is known. */
    public Optional<Duration> resultLifetime() {
        return mGroup.limits().map(BatchLimits::resultTime);
    }

    /** Returns the memory for results of one upstream in bytes; unlimited if it is not known. */
    public long resultMemory() {
        return mGroup.limits().map(BatchLimits::resultBytes).orElse(Long.MAX_VALUE);
    }

    private void addResult(UpstreamNode upstream, String handle, long bytes) {
        long lifetime = resultLifetime().orElse(Duration.ZERO).toNanos();
        upstream.resultMemory().add(handle, bytes, mTime.nanoTime() + lifetime);
    }

    /** Sends pending pieces to all upstreams that can take a call now. */
    public void dispatch() {
        mSupervisor.run(this::sendPending, this::schedulePoll);
    }

    private void sendPending() {
        mPending.removeIf(PendingPiece::isCancelled);
        long now = mTime.nanoTime();
        failLatePieces(now);
        observe(mGroup::upstreams);
        if (mPending.isEmpty()) {
            return;
        }
        Optional<BatchLimits> limits = mGroup.limits();
        if (limits.isEmpty()) {
            failAll(StageFailure.Kind.NO_UPSTREAM);
            return;
        }
        List<UpstreamNode> upstreams = mGroup.upstreams();
        replacePending(mPolicy.order(mPending, limits.get(), now));
        mPolicy.beginDispatch(mPending, upstreams, limits.get(), now);
        BatchSelection selection =
                new BatchSelection(
                        mPolicy, mPending, upstreams, limits.get(), this::availableAt, now);
        for (UpstreamNode upstream : upstreams) {
            if (mPending.isEmpty()) {
                return;
            }
            if (canTakeCall(upstream, limits.get(), now)) {
                boolean backlogged = isBacklogged(upstreams, limits.get());
                List<PendingPiece> batch = selection.select(upstream, backlogged);
                mPending.removeAll(batch);
                if (!batch.isEmpty()) {
                    mPolicy.onSelected(upstream, batch, limits.get());
                    BatchCall call = new BatchCall(upstream, batch);
                    mSupervisor.run(() -> send(call, limits.get()), () -> abandon(call));
                }
            }
        }
        schedulePoll();
    }

    private void replacePending(List<PendingPiece> pieces) {
        mPending.clear();
        mPending.addAll(pieces);
    }

    /**
     * Returns whether an upstream can take a call now: a slot is free, or a call sent now would
     * arrive just as the previous one ends.
     */
    private boolean canTakeCall(UpstreamNode upstream, BatchLimits limits, long now) {
        if (now + CALL_OVERHEAD_NANOS < upstream.busyUntil()) {
            return false;
        }
        if (upstream.inFlight() < limits.slots()) {
            return true;
        }
        Long expectedEnd = mExpectedEnds.get(upstream);
        boolean endsSoon = expectedEnd != null && now > expectedEnd - CALL_OVERHEAD_NANOS;
        return endsSoon && upstream.inFlight() == limits.slots() && limits.queue() > 0;
    }

    /** Returns the time of the given number of full calls, in nanoseconds. */
    private static long fullCalls(BatchLimits limits, double calls) {
        return (long) (limits.expectedTime(limits.batch()).toNanos() * calls);
    }

    private Duration retryDelay(double calls) {
        return mGroup.limits()
                .map(limits -> Duration.ofNanos(fullCalls(limits, calls)))
                .orElse(POLL_INTERVAL);
    }

    /** Returns the memory of an upstream that results may fill, in bytes. */
    public static long usableBytes(BatchLimits limits) {
        return (long) (limits.resultBytes() * USABLE_MEMORY_SHARE);
    }

    /**
     * Returns whether more pieces are pending than the available upstreams can take. Batches are
     * then filled, even if that splits a stage.
     */
    private boolean isBacklogged(List<UpstreamNode> upstreams, BatchLimits limits) {
        long now = mTime.nanoTime();
        long available = upstreams.stream().filter(node -> canTakeCall(node, limits, now)).count();
        return mPending.size() > available * limits.batch();
    }

    /** Returns the monotonic time at which an upstream is expected to start another call. */
    private long availableAt(UpstreamNode upstream) {
        long expectedEnd = mExpectedEnds.getOrDefault(upstream, Long.MIN_VALUE);
        return Math.max(upstream.busyUntil(), expectedEnd);
    }

    private void send(BatchCall call, BatchLimits limits) {
        List<PieceWork> work = new ArrayList<>();
        long latestDeadline = Long.MIN_VALUE;
        for (PendingPiece piece : call.pieces()) {
            work.add(piece.work());
            latestDeadline = Math.max(latestDeadline, piece.work().deadlineNanos());
        }
        long now = mTime.nanoTime();
        UpstreamNode upstream = call.upstream();
        double factor = mPolicy.timeFactor(upstream, now);
        Duration expected =
                Duration.ofNanos((long) (limits.expectedTime(work.size()).toNanos() * factor));
        long maxNanos = fullCalls(limits, TIMEOUT_FACTOR * Math.max(1, factor));
        Duration timeout = Duration.ofNanos(Math.max(1, Math.min(maxNanos, latestDeadline - now)));
        mExpectedEnds.put(
                upstream,
                Math.max(now, mExpectedEnds.getOrDefault(upstream, now)) + expected.toNanos());
        dispatchAfter(expected.toNanos() - CALL_OVERHEAD_NANOS);
        mRetryBudget.recordFirstCall();
        call.onSent(now);
        mBatchClient.execute(
                upstream,
                work,
                timeout,
                response ->
                        mSupervisor.run(
                                () -> onCallEnded(call, expected, now, response),
                                () -> abandon(call)));
    }

    /** Ends a call of which a callback threw; its pieces without a result fail. */
    private void abandon(BatchCall call) {
        endCall(call);
        call.takeUnhandled().forEach(piece -> fail(piece, StageFailure.Kind.FAILED));
        dispatch();
    }

    private void endCall(BatchCall call) {
        call.onEnded();
        if (call.upstream().inFlight() == 0) {
            mExpectedEnds.remove(call.upstream());
        }
    }

    private void onCallEnded(
            BatchCall call,
            Duration expected,
            long sentAt,
            Either<BatchFailure, BatchResponse> response) {
        if (call.isEnded()) {
            return;
        }
        endCall(call);
        if (response.isLeft()) {
            onFailure(call, expected, response.getLeft());
        } else {
            updateUpstream(call.upstream(), expected, sentAt, response.get());
            handleResults(call, response.get().results());
        }
        dispatch();
    }

    private void updateUpstream(
            UpstreamNode upstream, Duration expected, long sentAt, BatchResponse response) {
        long now = mTime.nanoTime();
        upstream.onSuccess((now - sentAt) / (double) expected.toNanos());
        int callsOfOthers = Math.max(0, response.queuedCalls().orElse(0) - upstream.inFlight());
        upstream.setBusyUntil(now + callsOfOthers * expected.toNanos());
    }

    private void handleResults(BatchCall call, List<PieceResult> results) {
        List<PendingPiece> outOfMemory = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            PendingPiece piece = call.pieces().get(i);
            boolean full = results.get(i).isFailure(PieceResult.Failure.OUT_OF_MEMORY);
            if (!full) {
                handleResult(call.upstream(), piece, results.get(i));
                call.onHandled(piece);
            } else if (!piece.isCancelled()) {
                outOfMemory.add(piece);
            }
        }
        if (!outOfMemory.isEmpty()) {
            onOutOfMemory(call.upstream(), outOfMemory);
            outOfMemory.forEach(call::onHandled);
        }
    }

    private void handleResult(UpstreamNode upstream, PendingPiece piece, PieceResult result) {
        if (result.handle().isPresent()) {
            String handle = result.handle().get();
            addResult(upstream, handle, piece.work().resultBytes());
            if (piece.isCancelled()) {
                mBatchClient.free(upstream, List.of(handle));
            } else {
                complete(piece, new ResultLocation(handle, upstream.entry().id()));
            }
            return;
        }
        if (piece.isCancelled()) {
            return;
        }
        switch (result.failure().orElse(PieceResult.Failure.ERROR)) {
            case DEADLINE_EXCEEDED -> fail(piece, StageFailure.Kind.DEADLINE);
            case INPUT_MISSING -> fail(piece, StageFailure.Kind.INPUT_MISSING);
            default -> retry(upstream, piece, true, retryDelay(RETRY_DELAY_CALLS));
        }
    }

    /**
     * Handles pieces that found the upstream's memory full although it seemed to have space: sizes
     * are approximate, and other processes may store results there. The upstream then gets no
     * further pieces until results are freed or the assumption expires.
     */
    private void onOutOfMemory(UpstreamNode upstream, List<PendingPiece> pieces) {
        long now = mTime.nanoTime();
        mGroup.limits()
                .ifPresent(
                        limits ->
                                upstream.resultMemory()
                                        .assumeFull(
                                                usableBytes(limits),
                                                now,
                                                now + fullCalls(limits, ASSUMED_FULL_CALLS)));
        pieces.forEach(PendingPiece::markStagePartlySent);
        mPending.addAll(pieces);
    }

    private void onFailure(BatchCall call, Duration expected, BatchFailure failure) {
        UpstreamNode upstream = call.upstream();
        long now = mTime.nanoTime();
        switch (failure.kind()) {
            case REJECTED -> upstream.setBusyUntil(now + expected.toNanos());
            case MISDIRECTED -> upstream.avoidUntil(now + MISDIRECTED_AVOIDANCE_NANOS);
            default -> upstream.onFailure(now, false, Duration.ZERO);
        }
        boolean mayHaveRun = failure.kind() == BatchFailure.Kind.BROKEN;
        Duration delay =
                retryDelay(
                        mRetryBudget.tryAcquire()
                                ? RETRY_DELAY_CALLS
                                : OVER_BUDGET_RETRY_DELAY_CALLS);
        for (PendingPiece piece : call.pieces()) {
            if (!piece.isCancelled()) {
                retry(upstream, piece, mayHaveRun, delay);
                call.onHandled(piece);
            }
        }
    }

    /**
     * Retries a piece after a delay. Only attempts that an upstream may have executed are limited
     * in number; others are repeated until the deadline.
     */
    private void retry(
            UpstreamNode upstream, PendingPiece piece, boolean mayHaveRun, Duration delay) {
        piece.setFailedAt(upstream);
        if (mayHaveRun) {
            piece.countAttempt();
        }
        if (piece.attempts() >= MAX_ATTEMPTS) {
            fail(piece, StageFailure.Kind.FAILED);
            return;
        }
        mScheduler.schedule(delay, () -> submit(List.of(piece)));
    }

    private void complete(PendingPiece piece, ResultLocation location) {
        notify(piece, listener -> listener.onCompleted(piece.work(), location));
    }

    private void fail(PendingPiece piece, StageFailure.Kind kind) {
        fail(piece, new StageFailure(kind, mGroup.name()));
    }

    private void fail(PendingPiece piece, StageFailure failure) {
        notify(piece, listener -> listener.onFailed(piece.work(), failure));
    }

    private void notify(PendingPiece piece, Consumer<PieceListener> call) {
        mSupervisor.guard().run(piece.owner(), () -> call.accept(piece.listener()));
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

    /** Fails the pieces that can no longer meet their deadline, also if there are no limits. */
    private void failLatePieces(long now) {
        Optional<BatchLimits> limits = mGroup.limits();
        Lazy<Long> earliestStart = Lazy.of(() -> earliestStart(now));
        List<PendingPiece> late = new ArrayList<>();
        for (PendingPiece piece : mPending) {
            boolean isLate =
                    limits.isEmpty()
                            ? piece.cannotMeetDeadline(now, 0)
                            : mPolicy.cannotMeetDeadline(
                                    piece, mPending.size(), limits.get(), now, earliestStart::get);
            if (isLate) {
                late.add(piece);
            }
        }
        mPending.removeAll(late);
        late.forEach(piece -> fail(piece, StageFailure.Kind.DEADLINE));
    }

    private long earliestStart(long now) {
        return mGroup.upstreams().stream()
                .mapToLong(upstream -> Math.max(now, availableAt(upstream)))
                .min()
                .orElse(now);
    }

    private void dispatchAfter(long delayNanos) {
        mScheduler.schedule(Duration.ofNanos(Math.max(0, delayNanos)), this::dispatch);
    }

    private void schedulePoll() {
        if (mPollScheduled || mPending.isEmpty()) {
            return;
        }
        mPollScheduled = true;
        mScheduler.schedule(
                POLL_INTERVAL,
                () -> {
                    mPollScheduled = false;
                    dispatch();
                });
    }
}
