package org.boragethread.core.breaker;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.core.time.TimeSource;

/**
 * Circuit breaker that opens after consecutive failures or when most recent calls failed. After a
 * back-off with jitter it lets one probe through at a time, which even a cold upstream can handle,
 * and it closes when a probe succeeds. Rejections because of overload and cancelled calls do not
 * count as failures: the concurrency limit handles the former, and the latter carry no information
 * about the upstream.
 *
 * <p>One lock guards the state. Results of calls that started before the breaker last opened are
 * ignored.
 */
public final class CircuitBreaker implements Breaker {

    private static final int CONSECUTIVE_FAILURES_TO_OPEN = 8;
    private static final int WINDOW_CALLS = 20;
    private static final int WINDOW_FAILURES_TO_OPEN = 16;
    private static final Duration MIN_BACK_OFF = Duration.ofMillis(500);
    private static final Duration MAX_BACK_OFF = Duration.ofSeconds(10);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(10);

    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final BreakerEvents mEvents;
    private final boolean[] mWindow = new boolean[WINDOW_CALLS];
    private BreakerState mState = BreakerState.CLOSED;
    private int mSamples;
    private int mFailuresInWindow;
    private int mConsecutiveFailures;
    private int mConsecutiveOpenings;
    private long mEpoch;
    private long mOpenUntilNanos;
    private long mProbeUntilNanos;
    private boolean mProbing;

    /**
     * Creates a closed breaker.
     *
     * @param random source of jitter; the breaker locks it while it draws a number
     * @param events listener for state changes
     */
    public CircuitBreaker(TimeSource time, RandomGenerator random, BreakerEvents events) {
        mTime = Objects.requireNonNull(time, "time");
        mRandom = Objects.requireNonNull(random, "random");
        mEvents = Objects.requireNonNull(events, "events");
    }

    /** Returns the current state. */
    public synchronized BreakerState state() {
        return mState;
    }

    @Override
    public synchronized boolean allowsCalls() {
        switch (mState) {
            case CLOSED:
                return true;
            case OPEN:
                return mTime.nanoTime() - mOpenUntilNanos >= 0;
            default:
                return !mProbing || mTime.nanoTime() - mProbeUntilNanos >= 0;
        }
    }

    @Override
    public synchronized Optional<CallHandle> tryStartCall() {
        if (!allowsCalls()) {
            return Optional.empty();
        }
        if (mState == BreakerState.CLOSED) {
            return Optional.of(new EpochCallHandle(mEpoch));
        }
        mState = BreakerState.HALF_OPEN;
        mProbing = true;
        mProbeUntilNanos = mTime.nanoTime() + PROBE_TIMEOUT.toNanos();
        mEpoch++;
        mEvents.onChange(BreakerChange.PROBE_STARTED);
        return Optional.of(new EpochCallHandle(mEpoch));
    }

    private synchronized void end(long epoch, CallOutcome outcome) {
        if (epoch != mEpoch) {
            return;
        }
        switch (outcome) {
            case GOOD:
                onSuccess();
                break;
            case FAILED:
            case UNREACHABLE:
            case TIMED_OUT:
                onFailure();
                break;
            default:
                mProbing = false;
                break;
        }
    }

    private void onSuccess() {
        if (mState == BreakerState.HALF_OPEN) {
            mState = BreakerState.CLOSED;
            mConsecutiveOpenings = 0;
            mProbing = false;
            clearWindow();
            mEvents.onChange(BreakerChange.CLOSED);
            return;
        }
        mConsecutiveFailures = 0;
        addSample(false);
    }

    private void onFailure() {
        if (mState == BreakerState.HALF_OPEN) {
            open(BreakerChange.PROBE_FAILED);
            return;
        }
        mConsecutiveFailures++;
        addSample(true);
        if (mConsecutiveFailures >= CONSECUTIVE_FAILURES_TO_OPEN) {
            open(BreakerChange.OPENED_BY_RUN);
        } else if (mFailuresInWindow >= WINDOW_FAILURES_TO_OPEN) {
            open(BreakerChange.OPENED_BY_RATE);
        }
    }

    private void open(BreakerChange change) {
        mState = BreakerState.OPEN;
        mProbing = false;
        mEpoch++;
        clearWindow();
        mOpenUntilNanos = mTime.nanoTime() + backOffNanos();
        mConsecutiveOpenings++;
        mEvents.onChange(change);
    }

    /**
     * Returns a back-off that doubles with each consecutive opening. Up to half of it is random
     * jitter.
     */
    private long backOffNanos() {
        long doubled = MIN_BACK_OFF.toNanos() << Math.min(mConsecutiveOpenings, 10);
        long bounded = Math.min(MAX_BACK_OFF.toNanos(), doubled);
        synchronized (mRandom) {
            return bounded / 2 + mRandom.nextLong(bounded / 2 + 1);
        }
    }

    private void addSample(boolean failed) {
        int slot = mSamples % WINDOW_CALLS;
        if (mSamples >= WINDOW_CALLS && mWindow[slot]) {
            mFailuresInWindow--;
        }
        mWindow[slot] = failed;
        mFailuresInWindow += failed ? 1 : 0;
        mSamples++;
    }

    private void clearWindow() {
        mSamples = 0;
        mFailuresInWindow = 0;
        mConsecutiveFailures = 0;
    }

    /**
     * A call and the epoch in which it started. The epoch changes whenever the breaker opens or
     * starts a probe.
     */
    private final class EpochCallHandle implements CallHandle {
        private final long mStartEpoch;
        private boolean mEnded;

        EpochCallHandle(long epoch) {
            mStartEpoch = epoch;
        }

        @Override
        public void complete(CallOutcome outcome) {
            synchronized (CircuitBreaker.this) {
                if (!mEnded) {
                    mEnded = true;
                    end(mStartEpoch, outcome);
                }
            }
        }
    }
}
