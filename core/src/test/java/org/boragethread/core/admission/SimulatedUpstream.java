package org.boragethread.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;

/**
 * Simulated upstream on a manual clock. It runs a limited number of calls at a time and queues
 * others. While cold it can hold only a few calls; one more makes it fail all calls for a while and
 * start cold again.
 */
final class SimulatedUpstream {

    static final int CAPACITY = 8;
    static final Duration SERVICE_TIME = Duration.ofMillis(100);
    static final double CALLS_PER_SECOND = CAPACITY / 0.1;

    private static final int COLD_CALLS = 2;
    private static final double SERVICE_TIME_SIGMA = 0.2;
    private static final Duration FAILURE_PERIOD = Duration.ofSeconds(2);

    private final ManualTimeSource mTime;
    private final SplittableRandom mRandom;
    private final int mCallsToWarmUp;
    private final Deque<AdmissionController.Permit> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private int mCompletedSinceCold;
    private long mFailingUntil;
    private int mColdExcess;

    SimulatedUpstream(ManualTimeSource time, SplittableRandom random, int callsToWarmUp) {
        mTime = time;
        mRandom = random;
        mCallsToWarmUp = callsToWarmUp;
    }

    void call(AdmissionController.Permit permit) {
        if (mTime.nanoTime() < mFailingUntil) {
            completeLater(permit, CallOutcome.FAILED, Duration.ofMillis(1));
            return;
        }
        if (heldCalls() >= maxHeld()) {
            mColdExcess++;
            mCompletedSinceCold = 0;
            mFailingUntil = mTime.nanoTime() + FAILURE_PERIOD.toNanos();
            completeLater(permit, CallOutcome.FAILED, Duration.ofMillis(1));
            return;
        }
        mWaiting.add(permit);
        startWaiting();
    }

    void becomeCold() {
        mCompletedSinceCold = 0;
    }

    int coldExcess() {
        return mColdExcess;
    }

    private int heldCalls() {
        return mRunning + mWaiting.size();
    }

    private int maxHeld() {
        if (mCompletedSinceCold >= mCallsToWarmUp) {
            return Integer.MAX_VALUE;
        }
        return COLD_CALLS + (CAPACITY - COLD_CALLS) * mCompletedSinceCold / mCallsToWarmUp;
    }

    private void startWaiting() {
        while (mRunning < CAPACITY && !mWaiting.isEmpty()) {
            mRunning++;
            AdmissionController.Permit permit = mWaiting.poll();
            double factor = Math.exp(SERVICE_TIME_SIGMA * mRandom.nextGaussian());
            Duration service = Duration.ofNanos((long) (SERVICE_TIME.toNanos() * factor));
            mTime.schedule(service, () -> completeSuccessfully(permit));
        }
    }

    private void completeSuccessfully(AdmissionController.Permit permit) {
        mRunning--;
        mCompletedSinceCold++;
        startWaiting();
        permit.complete(CallOutcome.GOOD, Duration.ZERO);
    }

    private void completeLater(
            AdmissionController.Permit permit, CallOutcome outcome, Duration delay) {
        mTime.schedule(delay, () -> permit.complete(outcome, delay));
    }
}
