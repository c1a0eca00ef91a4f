package org.boragethread.core.breaker;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.core.time.TimeSource;

/**
 * Opens after failures in a row or when most recent calls failed; after a back-off with jitter it
 * lets one probe through at a time, which is what a cold upstream bears, and closes when one is
 * answered. A refusal for overload and a withdrawn call are no failures: the agent's limit deals
 * with the first, and the second says nothing.
 *
 * <p>One lock guards the state. Results of calls that started before the breaker last opened are
 * ignored.
 */
public final class CircuitBreaker implements Breaker {

    private static final int FAILURES_IN_A_ROW = 8;
    private static final int WINDOW = 20;
    private static final int MAX_FAILURES_IN_WINDOW = 16;
    private static final Duration MIN_BACK_OFF = Duration.ofMillis(500);
    private static final Duration MAX_BACK_OFF = Duration.ofSeconds(10);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(10);

    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final BreakerEvents mEvents;
    private final boolean[] mFailed = new boolean[WINDOW];
    private BreakerState mState = BreakerState.CLOSED;
    private int mSamples;
    private int mFailuresInWindow;
    private int mRun;
    private int mOpenings;
    private long mEpoch;
    private long mOpenUntil;
    private long mProbeUntil;
    private boolean mProbing;

    /**
     * Makes a closed breaker.
     *
     * @param random source of jitter; the breaker locks it while it draws
     * @param events hears of changes of state
     */
    public CircuitBreaker(TimeSource time, RandomGenerator random, BreakerEvents events) {
        mTime = Objects.requireNonNull(time, "time");
        mRandom = Objects.requireNonNull(random, "random");
        mEvents = Objects.requireNonNull(events, "events");
    }

    /** Returns the state. */
    public synchronized BreakerState state() {
        return mState;
    }

    @Override
    public synchronized boolean allowsCalls() {
        switch (mState) {
            case CLOSED:
                return true;
            case OPEN:
                return mTime.nanoTime() - mOpenUntil >= 0;
            default:
                return !mProbing || mTime.nanoTime() - mProbeUntil >= 0;
        }
    }

    @Override
    public synchronized Optional<CallHandle> tryStartCall() {
        if (!allowsCalls()) {
            return Optional.empty();
        }
        if (mState == BreakerState.CLOSED) {
            return Optional.of(new CallTicket(mEpoch));
        }
        mState = BreakerState.HALF_OPEN;
        mProbing = true;
        mProbeUntil = mTime.nanoTime() + PROBE_TIMEOUT.toNanos();
        mEpoch++;
        mEvents.onChange(BreakerChange.PROBE_STARTED);
        return Optional.of(new CallTicket(mEpoch));
    }

    private synchronized void end(long epoch, CallOutcome outcome) {
        if (epoch != mEpoch) {
            return;
        }
        switch (outcome) {
            case GOOD:
                onGood();
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

    private void onGood() {
        if (mState == BreakerState.HALF_OPEN) {
            mState = BreakerState.CLOSED;
            mOpenings = 0;
            mProbing = false;
            clearWindow();
            mEvents.onChange(BreakerChange.CLOSED);
            return;
        }
        mRun = 0;
        addSample(false);
    }

    private void onFailure() {
        if (mState == BreakerState.HALF_OPEN) {
            open(BreakerChange.PROBE_FAILED);
            return;
        }
        mRun++;
        addSample(true);
        if (mRun >= FAILURES_IN_A_ROW) {
            open(BreakerChange.OPENED_BY_RUN);
        } else if (mFailuresInWindow >= MAX_FAILURES_IN_WINDOW) {
            open(BreakerChange.OPENED_BY_RATE);
        }
    }

    private void open(BreakerChange change) {
        mState = BreakerState.OPEN;
        mProbing = false;
        mEpoch++;
        clearWindow();
        mOpenUntil = mTime.nanoTime() + backOffNanos();
        mOpenings++;
        mEvents.onChange(change);
    }

    /** Doubles with each opening in a row; the jitter is up to half of it. */
    private long backOffNanos() {
        long doubled = MIN_BACK_OFF.toNanos() << Math.min(mOpenings, 10);
        long bounded = Math.min(MAX_BACK_OFF.toNanos(), doubled);
        synchronized (mRandom) {
            return bounded / 2 + mRandom.nextLong(bounded / 2 + 1);
        }
    }

    private void addSample(boolean failed) {
        int slot = mSamples % WINDOW;
        if (mSamples >= WINDOW && mFailed[slot]) {
            mFailuresInWindow--;
        }
        mFailed[slot] = failed;
        mFailuresInWindow += failed ? 1 : 0;
        mSamples++;
    }

    private void clearWindow() {
        mSamples = 0;
        mFailuresInWindow = 0;
        mRun = 0;
    }

    /** A call and the epoch in which it started. */
    private final class CallTicket implements CallHandle {
        private final long mStartEpoch;
        private boolean mEnded;

        CallTicket(long epoch) {
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
