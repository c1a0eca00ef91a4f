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
 * Decides which calls run, wait or fail. An upstream runs as many calls as its capacity and lets
 * others wait in order. While cold it bears few calls; one more makes it fail all calls for a while
 * and become cold again. Safe for use by several threads; all times are monotonic nanoseconds.
 */
final class CapacityModel {

    private final UpstreamSettings mSettings;
    private final Deque<Work> mWaiting = new ArrayDeque<>();
    private final Set<Work> mRunning = new LinkedHashSet<>();
    private StatsCounter mStats = new StatsCounter();
    private int mWarmth;
    private long mFallenUntilNanos;
    private boolean mFallen;

    CapacityModel(UpstreamSettings settings) {
        mSettings = settings;
        mWarmth = settings.startsCold() ? 0 : settings.warmCalls();
    }

    /** What becomes of an arriving call. */
    enum Arrival {
        RUN,
        WAIT,
        REFUSE,
        FAIL,
        FALL_OVER
    }

    /** Takes a call, or tells why not. */
    synchronized Arrival arrive(Work work, long nowNanos) {
        mStats.countCall();
        if (mFallen && nowNanos < mFallenUntilNanos) {
            mStats.countFailed();
            return Arrival.FAIL;
        }
        mFallen = false;
        int held = held();
        if (isCold() && held >= bears()) {
            mStats.countColdExcess();
            mStats.countFailed();
            mStats.countOverload();
            goCold();
            mFallen = true;
            mFallenUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(mSettings.fallOverMs());
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
        mWaiting.addLast(work);
        return Arrival.WAIT;
    }

    /** Ends a call; returns whether this was the first end of it. */
    synchronized boolean end(Work work, Ending ending, long nowNanos) {
        if (work.isEnded()) {
            return false;
        }
        boolean good = ending == Ending.GOOD;
        mStats.countEnd(ending, work.end(nowNanos));
        mRunning.remove(work);
        mWaiting.remove(work);
        if (good && mWarmth < mSettings.warmCalls()) {
            mWarmth++;
        }
        return true;
    }

    /** Starts the oldest waiting call if there is room. */
    synchronized Optional<Work> startNext(long nowNanos) {
        if (mRunning.size() >= mSettings.capacity() || mWaiting.isEmpty()) {
            return Optional.empty();
        }
        Work work = mWaiting.pollFirst();
        run(work, nowNanos);
        return Optional.of(work);
    }

    /** Returns all calls that the upstream holds. */
    synchronized List<Work> all() {
        List<Work> all = new ArrayList<>(mRunning);
        all.addAll(mWaiting);
        return all;
    }

    /** Makes the upstream cold. */
    synchronized void goCold() {
        mWarmth = 0;
    }

    /** Returns how many calls the upstream holds. */
    synchronized int held() {
        return mRunning.size() + mWaiting.size();
    }

    /** Returns how many calls the upstream bears now. */
    synchronized int bears() {
        if (!isCold()) {
            return mSettings.maxConcurrent();
        }
        int rise = Math.max(0, mSettings.capacity() - mSettings.coldCapacity());
        return mSettings.coldCapacity() + rise * mWarmth / mSettings.warmCalls();
    }

    /** Returns the factor by which the calls that run now slow each other. */
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
        return mWarmth < mSettings.warmCalls();
    }

    private void run(Work work, long nowNanos) {
        mRunning.add(work);
        work.start(nowNanos);
    }
}
