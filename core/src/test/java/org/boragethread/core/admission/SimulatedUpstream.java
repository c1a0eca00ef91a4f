package org.boragethread.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;

/**
 * An upstream on a paused clock: it works on a few calls at a time and lets others wait. While cold
 * it bears few calls; one more makes it fail everything for a while and become cold again.
 */
final class SimulatedUpstream {

    static final int CAPACITY = 8;
    static final Duration SERVICE = Duration.ofMillis(100);
    static final double CALLS_PER_SECOND = CAPACITY / 0.1;

    private static final int COLD_CALLS = 2;
    private static final double SPREAD = 0.2;
    private static final Duration FALL_OVER = Duration.ofSeconds(2);

    private final ManualTimeSource mTime;
    private final SplittableRandom mRandom;
    private final int mWarmCalls;
    private final Deque<AdmissionController.Permit> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private int mWarmth;
    private long mFailsUntil;
    private int mColdExcess;

    SimulatedUpstream(ManualTimeSource time, SplittableRandom random, int warmCalls) {
        mTime = time;
        mRandom = random;
        mWarmCalls = warmCalls;
    }

    void call(AdmissionController.Permit permit) {
        if (mTime.nanoTime() < mFailsUntil) {
            endLater(permit, CallOutcome.FAILED, Duration.ofMillis(1));
            return;
        }
        if (held() >= bears()) {
            mColdExcess++;
            mWarmth = 0;
            mFailsUntil = mTime.nanoTime() + FALL_OVER.toNanos();
            endLater(permit, CallOutcome.FAILED, Duration.ofMillis(1));
            return;
        }
        mWaiting.add(permit);
        startWaiting();
    }

    void goCold() {
        mWarmth = 0;
    }

    int coldExcess() {
        return mColdExcess;
    }

    private int held() {
        return mRunning + mWaiting.size();
    }

    private int bears() {
        if (mWarmth >= mWarmCalls) {
            return Integer.MAX_VALUE;
        }
        return COLD_CALLS + (CAPACITY - COLD_CALLS) * mWarmth / mWarmCalls;
    }

    private void startWaiting() {
        while (mRunning < CAPACITY && !mWaiting.isEmpty()) {
            mRunning++;
            AdmissionController.Permit permit = mWaiting.poll();
            double factor = Math.exp(SPREAD * mRandom.nextGaussian());
            Duration service = Duration.ofNanos((long) (SERVICE.toNanos() * factor));
            mTime.schedule(service, () -> endGood(permit));
        }
    }

    private void endGood(AdmissionController.Permit permit) {
        mRunning--;
        mWarmth++;
        startWaiting();
        permit.complete(CallOutcome.GOOD, Duration.ZERO);
    }

    private void endLater(AdmissionController.Permit permit, CallOutcome outcome, Duration delay) {
        mTime.schedule(delay, () -> permit.complete(outcome, delay));
    }
}
