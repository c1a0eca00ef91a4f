package org.boragethread.standins.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which calls run, wait or fail. An upstream runs as many calls as its capacity and queues
 * further ones in FIFO order. A cold upstream accepts fewer calls; one call above that limit
 * overloads it, so that it fails every call for a while and is cold again. Thread-safe; all times
 * are monotonic nanoseconds.
 */
final class CapacityModel {

    private final UpstreamSettings mSettings;
    private final Deque<StageCall> mQueue = new ArrayDeque<>();
    private final Set<StageCall> mRunning = new LinkedHashSet<>();
    private StatsCounter mStats = new StatsCounter();
    private int mWarmupCalls;
    private long mOverloadedUntilNanos;
    private boolean mOverloaded;

    CapacityModel(UpstreamSettings settings) {
        mSettings = settings;
        mWarmupCalls = settings.startsCold() ? 0 : settings.warmCalls();
    }

    /** Decision on an arriving call. */
    enum Admission {
        RUN,
        WAIT,
        REJECT,
        FAIL,
        OVERLOAD
    }

    /** Starts, queues or rejects a call and returns the decision. */
    synchronized Admission admit(StageCall call, long nowNanos) {
        mStats.countCall();
        if (mOverloaded && nowNanos < mOverloadedUntilNanos) {
            mStats.countFailed();
            return Admission.FAIL;
        }
        mOverloaded = false;
        int inFlight = inFlight();
        if (isCold() && inFlight >= inFlightLimit()) {
            mStats.countColdExcess();
            mStats.countFailed();
            mStats.countOverload();
            goCold();
            mOverloaded = true;
            mOverloadedUntilNanos =
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(mSettings.fallOverMs());
            return Admission.OVERLOAD;
        }
        if (inFlight >= mSettings.maxConcurrent()) {
            mStats.countRejected();
            return Admission.REJECT;
        }
        mStats.recordInFlight(inFlight + 1);
        if (mRunning.size() < mSettings.capacity()) {
            run(call, nowNanos);
            return Admission.RUN;
        }
        mQueue.addLast(call);
        return Admission.WAIT;
    }

    /** Ends a call; returns false if it had ended already. */
    synchronized boolean end(StageCall call, CallOutcome outcome, long nowNanos) {
        if (call.isEnded()) {
            return false;
        }
        boolean succeeded = outcome == CallOutcome.SUCCEEDED;
        mStats.countOutcome(outcome, call.end(nowNanos));
        mRunning.remove(call);
        mQueue.remove(call);
        if (succeeded && mWarmupCalls < mSettings.warmCalls()) {
            mWarmupCalls++;
        }
        return true;
    }

    /** Starts the oldest queued call if a slot is free. */
    synchronized Optional<StageCall> startNext(long nowNanos) {
        if (mRunning.size() >= mSettings.capacity() || mQueue.isEmpty()) {
            return Optional.empty();
        }
        StageCall call = mQueue.pollFirst();
        run(call, nowNanos);
        return Optional.of(call);
    }

    /** Returns all running and queued calls. */
    synchronized List<StageCall> inFlightCalls() {
        List<StageCall> calls = new ArrayList<>(mRunning);
        calls.addAll(mQueue);
        return calls;
    }

    /** Makes the upstream cold, as after a restart. */
    synchronized void goCold() {
        mWarmupCalls = 0;
    }

    /** Returns the number of running and queued calls. */
    synchronized int inFlight() {
        return mRunning.size() + mQueue.size();
    }

    /** Returns how many calls, running and queued, the upstream accepts now. */
    synchronized int inFlightLimit() {
        if (!isCold()) {
            return mSettings.maxConcurrent();
        }
        int warmupRange = Math.max(0, mSettings.capacity() - mSettings.coldCapacity());
        return mSettings.coldCapacity() + warmupRange * mWarmupCalls / mSettings.warmCalls();
    }

    /** Returns the factor by which concurrent calls slow each other down. */
    synchronized double contentionFactor() {
        return 1 + mSettings.loadSlope() * (mRunning.size() - 1) / mSettings.capacity();
    }

    synchronized void countPrefixHit() {
        mStats.countPrefixHit();
    }

    synchronized void countBusyResponse() {
        mStats.countCall();
        mStats.countRejected();
    }

    synchronized UpstreamStats stats() {
        return mStats.snapshot(inFlight(), isCold());
    }

    synchronized void resetStats() {
        mStats = new StatsCounter();
    }

    private boolean isCold() {
        return mWarmupCalls < mSettings.warmCalls();
    }

    private void run(StageCall call, long nowNanos) {
        mRunning.add(call);
        call.start(nowNanos);
    }
}
