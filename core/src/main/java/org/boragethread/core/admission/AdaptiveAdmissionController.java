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
 * A gate with a concurrency limit learnt from answers and a bounded queue.
 *
 * <p>All state is guarded by one lock. While it is held, the gate takes only the locks inside the
 * time source, the scheduler and the observed times; listeners are called after its release.
 */
public final class AdaptiveAdmissionController implements AdmissionController {

    private static final CancelHandle NOT_WAITING = () -> {};
    private static final double BATCH_SHARE = 0.75;
    private static final Duration MIN_TIMER = Duration.ofMillis(1);
    private static final Duration MAX_TIMER = Duration.ofHours(1);

    private final Object mLock = new Object();
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final AdmissionEvents mEvents;
    private final ConcurrencyLimit mLimit;
    private final CallQueue mQueue;
    private final QueueOrder mOrder;
    private final DeadlineEstimator mHopeless;
    private final int mMaxQueue;
    private boolean mReportsLoad;
    private int mInFlight;
    private boolean mLeaving;
    private long mOffered;

    private AdaptiveAdmissionController(Builder builder) {
        mTime = builder.mTime;
        mScheduler = builder.mScheduler;
        mEvents = builder.mEvents;
        mLimit = builder.mLimit.orElseGet(() -> adaptiveLimit(builder));
        mOrder = builder.mOrder;
        mQueue = CallQueue.of(mOrder);
        mHopeless = new DeadlineEstimator(mTime);
        mMaxQueue = builder.mMaxQueue;
        mReportsLoad = builder.mGroup.reportsLoad();
    }

    private static ConcurrencyLimit adaptiveLimit(Builder builder) {
        UpstreamGroup group = builder.mGroup;
        return new AdaptiveLimit.Builder(builder.mTime, group.coldLimit(), group.maxLimit())
                .warmUpAnswers(builder.mWarmUpAnswers)
                .build();
    }

    @Override
    public CancelHandle requestAdmission(AdmissionRequest request, Listener listener) {
        DeferredCallbacks notices = new DeferredCallbacks();
        CancelHandle waiting;
        synchronized (mLock) {
            waiting = decide(request, listener, notices);
        }
        notices.runAll();
        return waiting;
    }

    private CancelHandle decide(AdmissionRequest request, Listener listener, DeferredCallbacks notices) {
        if (mInFlight == 0) {
            report(mLimit.onIdle(), notices);
        }
        pump(notices);
        if (mLeaving) {
            return refuse(listener, RefusalReason.LEAVING, notices);
        }
        if (mHopeless.remainingNanos(request) <= 0) {
            return refuse(listener, RefusalReason.DEADLINE_EXCEEDED, notices);
        }
        boolean direct = hasRoom(request);
        boolean hopeless = direct ? isHopeless(request) : isLikelyLate(request);
        if (hopeless) {
            return refuse(listener, RefusalReason.DEADLINE_HOPELESS, notices);
        }
        if (direct) {
            admit(listener, notices);
            return NOT_WAITING;
        }
        return enqueue(request, listener, notices);
    }

    private boolean isHopeless(AdmissionRequest request) {
        if (!mHopeless.isInfeasible(request)) {
            return false;
        }
        return mInFlight > 0 || !mHopeless.tryProbe();
    }

    private boolean isLikelyLate(AdmissionRequest request) {
        return mHopeless.isLikelyLate(request, mQueue.countAhead(request) + 1, mLimit.limit());
    }

    /** Tells whether a waiting call that could be admitted now should not be. */
    private boolean isWaste(AdmissionRequest request) {
        if (mQueue.size() > 1 && mHopeless.isLikelyLate(request, 0, mLimit.limit())) {
            return true;
        }
        return isHopeless(request);
    }

    private CancelHandle enqueue(AdmissionRequest request, Listener listener, DeferredCallbacks notices) {
        if (mQueue.size() >= mMaxQueue) {
            Optional<QueuedCall> displaced = mQueue.displacedBy(request);
            if (displaced.isEmpty()) {
                return refuse(listener, RefusalReason.QUEUE_FULL, notices);
            }
            notices.add(mEvents::onDisplaced);
            refuseWaiting(displaced.get(), RefusalReason.QUEUE_FULL, notices);
        }
        QueuedCall call = new QueuedCall(request, listener, mOffered++, mTime.nanoTime());
        mQueue.add(call);
        startTimer(call);
        return () -> withdraw(call);
    }

    private void startTimer(QueuedCall call) {
        Duration delay = mHopeless.timeUntilInfeasible(call.request());
        if (delay.compareTo(MIN_TIMER) < 0) {
            delay = MIN_TIMER;
        }
        if (delay.compareTo(MAX_TIMER) > 0) {
            delay = MAX_TIMER;
        }
        call.setTimer(mScheduler.schedule(delay, () -> checkWaiting(call)));
    }

    /** Refuses a waiting call once too little time is left to it. */
    private void checkWaiting(QueuedCall call) {
        DeferredCallbacks notices = new DeferredCallbacks();
        synchronized (mLock) {
            if (!call.isQueued()) {
                return;
            }
            if (mHopeless.isInfeasible(call.request())) {
                refuseWaiting(call, RefusalReason.DEADLINE_HOPELESS, notices);
            } else {
                startTimer(call);
            }
        }
        notices.runAll();
    }

    private void withdraw(QueuedCall call) {
        synchronized (mLock) {
            if (mQueue.remove(call)) {
                call.markRemoved();
            }
        }
    }

    /** Admits waiting calls while there is room. */
    private void pump(DeferredCallbacks notices) {
        Optional<QueuedCall> head = mQueue.peek();
        while (head.isPresent() && hasRoom(head.get().request())) {
            QueuedCall call = head.get();
            if (isWaste(call.request())) {
                refuseWaiting(call, RefusalReason.DEADLINE_HOPELESS, notices);
            } else {
                mQueue.poll();
                call.markRemoved();
                Duration waited = mTime.since(call.enqueuedNanos());
                notices.add(() -> mEvents.onAdmitted(waited));
                admit(call.listener(), notices);
            }
            head = mQueue.peek();
        }
    }

    /** Jobs leave a share of the limit to calls that somebody waits for. */
    private boolean hasRoom(AdmissionRequest request) {
        int limit = mLimit.limit();
        if (mOrder == QueueOrder.FAIR && request.priority() == Priority.BATCH) {
            int share = Math.max(1, (int) (limit * BATCH_SHARE));
            return mInFlight < share && mQueue.size() == mQueue.size(Priority.BATCH);
        }
        return mInFlight < limit;
    }

    private void admit(Listener listener, DeferredCallbacks notices) {
        mInFlight++;
        Permit permit = new CallPermit(mTime.nanoTime(), mInFlight);
        notices.add(() -> listener.onAdmitted(permit));
    }

    private CancelHandle refuse(Listener listener, RefusalReason reason, DeferredCallbacks notices) {
        Duration retryAfter = mHopeless.retryAfter(mQueue.size(), mLimit.limit());
        Refusal refusal =
                Refusal.notRun(
                        reason,
                        "agent refused the call: %s, %d of %d in flight, %d waiting"
                                .formatted(
                                        reason.label(), mInFlight, mLimit.limit(), mQueue.size()),
                        retryAfter);
        notices.add(() -> mEvents.onRefused(reason));
        notices.add(() -> listener.onRefused(refusal));
        return NOT_WAITING;
    }

    private void refuseWaiting(QueuedCall call, RefusalReason reason, DeferredCallbacks notices) {
        mQueue.remove(call);
        call.markRemoved();
        refuse(call.listener(), reason, notices);
    }

    private void complete(CallSample sample, CallOutcome outcome) {
        DeferredCallbacks notices = new DeferredCallbacks();
        synchronized (mLock) {
            mInFlight--;
            report(learn(sample, outcome), notices);
            pump(notices);
        }
        notices.runAll();
    }

    private Optional<LimitChange> learn(CallSample sample, CallOutcome outcome) {
        switch (outcome) {
            case GOOD:
                mHopeless.record(sample.latency());
                return mLimit.onGood(sample);
            case BUSY:
                return mLimit.onFailure(sample, FailureKind.BUSY);
            case FAILED:
                return mLimit.onFailure(sample, FailureKind.FAILED);
            case TIMED_OUT:
                return mLimit.onFailure(sample, FailureKind.TIMED_OUT);
            case UNREACHABLE:
                return mLimit.onLost(LimitChangeReason.UNREACHABLE);
            default:
                return Optional.empty();
        }
    }

    /** Learns that the upstream was lost or restarted, so that it is cold. */
    public void onUpstreamLost() {
        change(() -> mLimit.onLost(LimitChangeReason.LOST));
    }

    /** Learns the load that the upstream reports; ignored if its group reports none. */
    public void onReportedLoad(ReportedLoad load) {
        change(() -> mReportsLoad ? mLimit.onReportedLoad(load) : Optional.empty());
    }

    /** Takes over the changed configuration of the upstream's group. */
    public void reconfigure(UpstreamGroup group) {
        change(
                () -> {
                    mReportsLoad = group.reportsLoad();
                    return mLimit.reconfigure(group.coldLimit(), group.maxLimit());
                });
    }

    private void change(LimitAction action) {
        DeferredCallbacks notices = new DeferredCallbacks();
        synchronized (mLock) {
            report(action.run(), notices);
            pump(notices);
        }
        notices.runAll();
    }

    private void report(Optional<LimitChange> change, DeferredCallbacks notices) {
        change.ifPresent(value -> notices.add(() -> mEvents.onLimitChanged(value)));
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
        DeferredCallbacks notices = new DeferredCallbacks();
        synchronized (mLock) {
            mLeaving = leaving;
            if (leaving) {
                for (QueuedCall call : mQueue.drain()) {
                    call.markRemoved();
                    refuse(call.listener(), RefusalReason.LEAVING, notices);
                }
            }
        }
        notices.runAll();
    }

    private interface LimitAction {
        Optional<LimitChange> run();
    }

    /** The right to one call in flight. */
    private final class CallPermit implements Permit {
        private final AtomicBoolean mOpen = new AtomicBoolean(true);
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
            if (mOpen.compareAndSet(true, false)) {
                AdaptiveAdmissionController.this.complete(sample, outcome);
            }
        }
    }

    /** Makes gates. */
    public static final class Builder {
        private static final int DEFAULT_MAX_QUEUE = 128;

        private final TimeSource mTime;
        private final Scheduler mScheduler;
        private final UpstreamGroup mGroup;
        private AdmissionEvents mEvents = AdmissionEvents.NONE;
        private Optional<ConcurrencyLimit> mLimit = Optional.empty();
        private QueueOrder mOrder = QueueOrder.FAIR;
        private int mMaxQueue = DEFAULT_MAX_QUEUE;
        private int mWarmUpAnswers = AdaptiveLimit.Builder.DEFAULT_WARM_UP_ANSWERS;

        /**
         * Starts with the defaults for a group.
         *
         * @param scheduler runs the checks of waiting calls
         * @param group the upstream's group, for its limits and whether it reports load
         */
        public Builder(TimeSource time, Scheduler scheduler, UpstreamGroup group) {
            mTime = Objects.requireNonNull(time, "time");
            mScheduler = Objects.requireNonNull(scheduler, "scheduler");
            mGroup = Objects.requireNonNull(group, "group");
        }

        /** Sets who hears of the gate's decisions. */
        public Builder events(AdmissionEvents events) {
            mEvents = Objects.requireNonNull(events, "events");
            return this;
        }

        /** Replaces the adaptive limit, for example by the baseline. */
        public Builder limit(ConcurrencyLimit limit) {
            mLimit = Optional.of(limit);
            return this;
        }

        /** Sets the least number of good answers for each step of the adaptive limit's warm-up. */
        public Builder warmUpAnswers(int answers) {
            mWarmUpAnswers = answers;
            return this;
        }

        /** Sets the order of waiting calls. */
        public Builder order(QueueOrder order) {
            mOrder = Objects.requireNonNull(order, "order");
            return this;
        }

        /** Sets the greatest number of waiting calls; 0 refuses at once. */
        public Builder maxQueue(int calls) {
            if (calls < 0) {
                throw new IllegalArgumentException(
                        "maxQueue %d must not be negative".formatted(calls));
            }
            mMaxQueue = calls;
            return this;
        }

        /** Returns the gate, whose upstream is taken to be cold. */
        public AdaptiveAdmissionController build() {
            return new AdaptiveAdmissionController(this);
        }
    }
}
