package org.boragethread.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.core.limit.AdaptiveLimit;
import org.boragethread.core.limit.CallSample;
import org.boragethread.core.limit.ConcurrencyLimit;
import org.boragethread.core.limit.ConcurrencyLimit.FailureKind;
import org.boragethread.core.limit.LimitChange;
import org.boragethread.core.limit.LimitChangeReason;
import org.boragethread.core.limit.ReportedLoad;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Priority;
import org.boragethread.model.upstream.UpstreamGroup;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * Admission controller with an adaptive concurrency limit and a bounded queue.
 *
 * <p>All state is guarded by one lock. While holding it, the controller acquires only the internal
 * locks of the time source, the scheduler and the observed service times; listeners are called
 * after it is released.
 */
public final class AdaptiveAdmissionController implements AdmissionController {

    private static final CancelHandle NOT_QUEUED = () -> {};
    private static final double BATCH_LIMIT_SHARE = 0.75;
    private static final Duration MIN_CHECK_DELAY = Duration.ofMillis(1);
    private static final Duration MAX_CHECK_DELAY = Duration.ofHours(1);

    private final Object mLock = new Object();
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final AdmissionEvents mEvents;
    private final ConcurrencyLimit mLimit;
    private final CallQueue mQueue;
    private final QueueOrder mOrder;
    private final DeadlineEstimator mDeadlines;
    private final int mMaxQueue;
    private boolean mReportsLoad;
    private int mInFlight;
    private boolean mLeaving;
    private long mNextSequence;

    private AdaptiveAdmissionController(Builder builder) {
        mTime = builder.mTime;
        mScheduler = builder.mScheduler;
        mEvents = builder.mEvents;
        mLimit = builder.mLimit.orElseGet(() -> adaptiveLimit(builder));
        mOrder = builder.mOrder;
        mQueue = CallQueue.of(mOrder);
        mDeadlines = new DeadlineEstimator(mTime);
        mMaxQueue = builder.mMaxQueue;
        mReportsLoad = builder.mGroup.reportsLoad();
    }

    private static ConcurrencyLimit adaptiveLimit(Builder builder) {
        UpstreamGroup group = builder.mGroup;
        return new AdaptiveLimit.Builder(builder.mTime, group.coldLimit(), group.maxLimit())
                .warmUpResponses(builder.mWarmUpResponses)
                .build();
    }

    @Override
    public CancelHandle requestAdmission(AdmissionRequest request, Listener listener) {
        DeferredCallbacks callbacks = new DeferredCallbacks();
        CancelHandle handle;
        synchronized (mLock) {
            handle = decide(request, listener, callbacks);
        }
        callbacks.runAll();
        return handle;
    }

    private CancelHandle decide(
            AdmissionRequest request, Listener listener, DeferredCallbacks callbacks) {
        if (mInFlight == 0) {
            notifyLimitChange(mLimit.onIdle(), callbacks);
        }
        admitQueued(callbacks);
        if (mLeaving) {
            return refuse(listener, RefusalReason.LEAVING, callbacks);
        }
        if (mDeadlines.remainingNanos(request) <= 0) {
            return refuse(listener, RefusalReason.DEADLINE_EXCEEDED, callbacks);
        }
        boolean canRunNow = hasCapacity(request);
        boolean infeasible = canRunNow ? shouldRefuseNow(request) : isLikelyLate(request);
        if (infeasible) {
            return refuse(listener, RefusalReason.DEADLINE_HOPELESS, callbacks);
        }
        if (canRunNow) {
            admit(listener, callbacks);
            return NOT_QUEUED;
        }
        return enqueue(request, listener, callbacks);
    }

    private boolean shouldRefuseNow(AdmissionRequest request) {
        if (!mDeadlines.isInfeasible(request)) {
            return false;
        }
        return mInFlight > 0 || !mDeadlines.tryProbe();
    }

    private boolean isLikelyLate(AdmissionRequest request) {
        return mDeadlines.isLikelyLate(request, mQueue.countAhead(request) + 1, mLimit.limit());
    }

    /** Returns whether a queued call should be refused although there is capacity to run it. */
    private boolean shouldDrop(AdmissionRequest request) {
        if (mQueue.size() > 1 && mDeadlines.isLikelyLate(request, 0, mLimit.limit())) {
            return true;
        }
        return shouldRefuseNow(request);
    }

    private CancelHandle enqueue(
            AdmissionRequest request, Listener listener, DeferredCallbacks callbacks) {
        if (mQueue.size() >= mMaxQueue) {
            Optional<QueuedCall> displaced = mQueue.displacedBy(request);
            if (displaced.isEmpty()) {
                return refuse(listener, RefusalReason.QUEUE_FULL, callbacks);
            }
            callbacks.add(mEvents::onDisplaced);
            refuseQueued(displaced.get(), RefusalReason.QUEUE_FULL, callbacks);
        }
        QueuedCall call = new QueuedCall(request, listener, mNextSequence++, mTime.nanoTime());
        mQueue.add(call);
        scheduleCheck(call);
        return () -> cancelQueued(call);
    }

    private void scheduleCheck(QueuedCall call) {
        Duration delay = mDeadlines.timeUntilInfeasible(call.request());
        if (delay.compareTo(MIN_CHECK_DELAY) < 0) {
            delay = MIN_CHECK_DELAY;
        }
        if (delay.compareTo(MAX_CHECK_DELAY) > 0) {
            delay = MAX_CHECK_DELAY;
        }
        call.setTimer(mScheduler.schedule(delay, () -> checkQueued(call)));
    }

    /** Refuses a queued call once its remaining time is too short for the upstream to respond. */
    private void checkQueued(QueuedCall call) {
        DeferredCallbacks callbacks = new DeferredCallbacks();
        synchronized (mLock) {
            if (!call.isQueued()) {
                return;
            }
            if (mDeadlines.isInfeasible(call.request())) {
                refuseQueued(call, RefusalReason.DEADLINE_HOPELESS, callbacks);
            } else {
                scheduleCheck(call);
            }
        }
        callbacks.runAll();
    }

    private void cancelQueued(QueuedCall call) {
        synchronized (mLock) {
            if (mQueue.remove(call)) {
                call.markRemoved();
            }
        }
    }

    /** Admits queued calls while there is capacity. */
    private void admitQueued(DeferredCallbacks callbacks) {
        Optional<QueuedCall> head = mQueue.peek();
        while (head.isPresent() && hasCapacity(head.get().request())) {
            QueuedCall call = head.get();
            if (shouldDrop(call.request())) {
                refuseQueued(call, RefusalReason.DEADLINE_HOPELESS, callbacks);
            } else {
                mQueue.poll();
                call.markRemoved();
                Duration queueTime = mTime.since(call.enqueuedNanos());
                callbacks.add(() -> mEvents.onAdmitted(queueTime));
                admit(call.listener(), callbacks);
            }
            head = mQueue.peek();
        }
    }

    /**
     * Returns whether a call could run now. Batch calls may use only a share of the limit, and only
     * while no other calls are queued, which keeps capacity free for calls that a client is waiting
     * for.
     */
    private boolean hasCapacity(AdmissionRequest request) {
        int limit = mLimit.limit();
        if (mOrder == QueueOrder.FAIR && request.priority() == Priority.BATCH) {
            int share = Math.max(1, (int) (limit * BATCH_LIMIT_SHARE));
            return mInFlight < share && mQueue.size() == mQueue.size(Priority.BATCH);
        }
        return mInFlight < limit;
    }

    private void admit(Listener listener, DeferredCallbacks callbacks) {
        mInFlight++;
        Permit permit = new CallPermit(mTime.nanoTime(), mInFlight);
        callbacks.add(() -> listener.onAdmitted(permit));
    }

    private CancelHandle refuse(
            Listener listener, RefusalReason reason, DeferredCallbacks callbacks) {
        Duration retryAfter = mDeadlines.retryAfter(mQueue.size(), mLimit.limit());
        Refusal refusal =
                Refusal.notRun(
                        reason,
                        "agent refused the call: %s, %d of %d in flight, %d waiting"
                                .formatted(
                                        reason.label(), mInFlight, mLimit.limit(), mQueue.size()),
                        retryAfter);
        callbacks.add(() -> mEvents.onRefused(reason));
        callbacks.add(() -> listener.onRefused(refusal));
        return NOT_QUEUED;
    }

    private void refuseQueued(QueuedCall call, RefusalReason reason, DeferredCallbacks callbacks) {
        mQueue.remove(call);
        call.markRemoved();
        refuse(call.listener(), reason, callbacks);
    }

    private void complete(CallSample sample, CallOutcome outcome) {
        DeferredCallbacks callbacks = new DeferredCallbacks();
        synchronized (mLock) {
            mInFlight--;
            notifyLimitChange(recordOutcome(sample, outcome), callbacks);
            admitQueued(callbacks);
        }
        callbacks.runAll();
    }

    private Optional<LimitChange> recordOutcome(CallSample sample, CallOutcome outcome) {
        switch (outcome) {
            case GOOD:
                mDeadlines.record(sample.latency());
                return mLimit.onSuccess(sample);
            case BUSY:
                return mLimit.onFailure(sample, FailureKind.BUSY);
            case FAILED:
                return mLimit.onFailure(sample, FailureKind.FAILED);
            case TIMED_OUT:
                return mLimit.onFailure(sample, FailureKind.TIMED_OUT);
            case UNREACHABLE:
                return mLimit.onUpstreamLost(LimitChangeReason.UNREACHABLE);
            default:
                return Optional.empty();
        }
    }

    /** Handles the loss or restart of the upstream, which is cold afterwards. */
    public void onUpstreamLost() {
        updateLimit(() -> mLimit.onUpstreamLost(LimitChangeReason.LOST));
    }

    /** Applies the load that the upstream reports; ignored if its group does not report load. */
    public void onReportedLoad(ReportedLoad load) {
        updateLimit(() -> mReportsLoad ? mLimit.onReportedLoad(load) : Optional.empty());
    }

    /** Applies the changed configuration of the upstream's group. */
    public void reconfigure(UpstreamGroup group) {
        updateLimit(
                () -> {
                    mReportsLoad = group.reportsLoad();
                    return mLimit.reconfigure(group.coldLimit(), group.maxLimit());
                });
    }

    private void updateLimit(LimitUpdate update) {
        DeferredCallbacks callbacks = new DeferredCallbacks();
        synchronized (mLock) {
            notifyLimitChange(update.run(), callbacks);
            admitQueued(callbacks);
        }
        callbacks.runAll();
    }

    private void notifyLimitChange(Optional<LimitChange> change, DeferredCallbacks callbacks) {
        change.ifPresent(value -> callbacks.add(() -> mEvents.onLimitChanged(value)));
    }

    @Override
    public UpstreamLoad load() {
        synchronized (mLock) {
            return new UpstreamLoad(
                    mInFlight, mLimit.limit(), mQueue.size(), mLimit.isCold(), mLeaving);
        }
    }

    @Override
    public void setLeaving(boolean leaving) {
        DeferredCallbacks callbacks = new DeferredCallbacks();
        synchronized (mLock) {
            mLeaving = leaving;
            if (leaving) {
                for (QueuedCall call : mQueue.drain()) {
                    call.markRemoved();
                    refuse(call.listener(), RefusalReason.LEAVING, callbacks);
                }
            }
        }
        callbacks.runAll();
    }

    private interface LimitUpdate {
        Optional<LimitChange> run();
    }

    /** Permission for one call to be in flight. */
    private final class CallPermit implements Permit {
        private final AtomicBoolean mActive = new AtomicBoolean(true);
        private final long mStartNanos;
        private final int mInFlightAtStart;

        CallPermit(long startNanos, int inFlight) {
            mStartNanos = startNanos;
            mInFlightAtStart = inFlight;
        }

        @Override
        public void complete(CallOutcome outcome, Duration latency) {
            Objects.requireNonNull(outcome, "outcome");
            CallSample sample = new CallSample(mStartNanos, mInFlightAtStart, latency);
            if (mActive.compareAndSet(true, false)) {
                AdaptiveAdmissionController.this.complete(sample, outcome);
            }
        }
    }

    /** Builds admission controllers. */
    public static final class Builder {
        private static final int DEFAULT_MAX_QUEUE = 128;

        private final TimeSource mTime;
        private final Scheduler mScheduler;
        private final UpstreamGroup mGroup;
        private AdmissionEvents mEvents = AdmissionEvents.NONE;
        private Optional<ConcurrencyLimit> mLimit = Optional.empty();
        private QueueOrder mOrder = QueueOrder.FAIR;
        private int mMaxQueue = DEFAULT_MAX_QUEUE;
        private int mWarmUpResponses = AdaptiveLimit.Builder.DEFAULT_WARM_UP_RESPONSES;

        /**
         * Creates a builder with the default settings.
         *
         * @param scheduler runs the deadline checks of queued calls
         * @param group the upstream's group, which supplies the limits and whether it reports load
         */
        public Builder(TimeSource time, Scheduler scheduler, UpstreamGroup group) {
            mTime = Objects.requireNonNull(time, "time");
            mScheduler = Objects.requireNonNull(scheduler, "scheduler");
            mGroup = Objects.requireNonNull(group, "group");
        }

        /** Sets the listener for admission decisions. */
        public Builder events(AdmissionEvents events) {
            mEvents = Objects.requireNonNull(events, "events");
            return this;
        }

        /** Replaces the adaptive limit, for example with a fixed baseline limit. */
        public Builder limit(ConcurrencyLimit limit) {
            mLimit = Optional.of(limit);
            return this;
        }

        /**
         * Sets the minimum number of successful responses for each step of the adaptive limit's
         * warm-up.
         */
        public Builder warmUpResponses(int responses) {
            mWarmUpResponses = responses;
            return this;
        }

        /** Sets the order in which queued calls are admitted. */
        public Builder order(QueueOrder order) {
            mOrder = Objects.requireNonNull(order, "order");
            return this;
        }

        /**
         * Sets the maximum number of queued calls; with 0, calls above the limit are refused at
         * once.
         */
        public Builder maxQueue(int calls) {
            if (calls < 0) {
                throw new IllegalArgumentException(
                        "maxQueue %d must not be negative".formatted(calls));
            }
            mMaxQueue = calls;
            return this;
        }

        /** Builds the controller, which assumes that its upstream is cold. */
        public AdaptiveAdmissionController build() {
            return new AdaptiveAdmissionController(this);
        }
    }
}
