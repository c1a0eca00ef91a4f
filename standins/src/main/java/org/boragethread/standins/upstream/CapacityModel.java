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
    private final Deque<Work> mQueue = new ArrayDeque<>();
    private final Set<Work> mRunning = new LinkedHashSet<>();
    private StatsCounter mStats = new StatsCounter();
    private int mWarmupCalls;
    private long mOverloadedUntilNanos;
    private boolean mOverloaded;

    CapacityModel(UpstreamSettings settings) {
        mSettings = settings;
        mWarmupCalls = settings.startsCold() ? 0 : settings.warmCalls();
    }

    /** Decision on an arriving call. */
    enum Arrival {
        RUN,
        WAIT,
        REFUSE,
        FAIL,
        FALL_OVER
    }

    /** Starts, queues or rejects a call and returns the decision. */
    synchronized Arrival arrive(Work work, long nowNanos) {
        mStats.countCall();
        if (mOverloaded && nowNanos < mOverloadedUntilNanos) {
            mStats.countFailed();
            return Arrival.FAIL;
        }
        mOverloaded = false;
        int held = held();
        if (isCold() && held >= bears()) {
            mStats.countColdExcess();
            mStats.countFailed();
            mStats.countOverload();
            goCold();
            mOverloaded = true;
            mOverloadedUntilNanos =
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(mSettings.fallOverMs());
            return Arrival.FALL_OVER;
        }
        if (held >= mSettings.maxConcurrent()) {
            mStats.countRefused();
            return Arrival.REFUSE;
        }
        mStats.countHeld(held + 1);
        if (mRunning.size() < mSettings.capacity()) {
            run(work, nowNanos);
            return Arrival.RUN;
        }
        mQueue.addLast(work);
        return Arrival.WAIT;
    }

    /** Ends a call; returns false if it had ended already. */
    synchronized boolean end(Work work, Ending ending, long nowNanos) {
        if (work.isEnded()) {
            return false;
        }
        boolean succeeded = ending == Ending.GOOD;
        mStats.countEnd(ending, work.end(nowNanos));
        mRunning.remove(work);
        mQueue.remove(work);
        if (succeeded && mWarmupCalls < mSettings.warmCalls()) {
            mWarmupCalls++;
        }
        return true;
    }

    /** Starts the oldest queued call if a slot is free. */
    synchronized Optional<Work> startNext(long nowNanos) {
        if (mRunning.size() >= mSettings.capacity() || mQueue.isEmpty()) {
            return Optional.empty();
        }
        Work work = mQueue.pollFirst();
        run(work, nowNanos);
        return Optional.of(work);
    }

    /** Returns all running and queued calls. */
    synchronized List<Work> all() {
        List<Work> all = new ArrayList<>(mRunning);
        all.addAll(mQueue);
        return all;
    }

    /** Makes the upstream cold, as after a restart. */
    synchronized void goCold() {
        mWarmupCalls = 0;
    }

    /** Returns the number of running and queued calls. */
    synchronized int held() {
        return mRunning.size() + mQueue.size();
    }

    /** Returns how many calls, running and queued, the upstream accepts now. */
    synchronized int bears() {
        if (!isCold()) {
            return mSettings.maxConcurrent();
        }
        int warmupRange = Math.max(0, mSettings.capacity() - mSettings.coldCapacity());
        return mSettings.coldCapacity() + warmupRange * mWarmupCalls / mSettings.warmCalls();
    }

    /** Returns the factor by which concurrent calls slow each other down. */
    synchronized double slowdown() {
        return 1 + mSettings.loadSlope() * (mRunning.size() - 1) / mSettings.capacity();
    }

    synchronized void countPrefixHit() {
        mStats.countPrefixHit();
    }

    synchronized void countBusyAnswer() {
        mStats.countCall();
        mStats.countRefused();
    }

    synchronized UpstreamStats stats() {
        return mStats.snapshot(held(), isCold());
    }

    synchronized void resetStats() {
        mStats = new StatsCounter();
    }

    private boolean isCold() {
        return mWarmupCalls < mSettings.warmCalls();
    }

    private void run(Work work, long nowNanos) {
        mRunning.add(work);
        work.start(nowNanos);
    }
}
