package org.boragethread.core.upstream;

import java.time.Duration;
import org.boragethread.model.routing.UpstreamEntry;

/** What this process knows of one upstream. Not safe for use by several threads. */
public final class UpstreamNode {

    /** First time for which a failed upstream is avoided; it doubles with each failure. */
    private static final long FIRST_AVOIDANCE_NANOS = Duration.ofMillis(300).toNanos();

    private static final int MAX_DOUBLINGS = 4;

    /** Weight of the newest sample in the mean of the observed slowness. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private static final double MAX_SLOWNESS = 20;

    private final ColdRate mColdRate = new ColdRate();
    private final ResultLedger mResults = new ResultLedger();
    private final PromptLoad mPrompts = new PromptLoad();
    private UpstreamEntry mEntry;
    private long mColdUntil = Long.MIN_VALUE;
    private long mAvoidUntil = Long.MIN_VALUE;
    private long mBusyUntil = Long.MIN_VALUE;
    private long mGoneAt = Long.MAX_VALUE;
    private int mFailures;
    private int mInFlight;
    private double mSlowness = 1;

    UpstreamNode(UpstreamEntry entry, long now) {
        mEntry = entry;
        update(entry, now);
    }

    void update(UpstreamEntry entry, long now) {
        if (!entry.isSameIncarnation(mEntry)) {
            mAvoidUntil = Long.MIN_VALUE;
            mBusyUntil = Long.MIN_VALUE;
            mFailures = 0;
            mSlowness = 1;
            mPrompts.forget();
        }
        mEntry = entry;
        mGoneAt = Long.MAX_VALUE;
        if (entry.coldMillis() > 0) {
            mColdUntil = now + Duration.ofMillis(entry.coldMillis()).toNanos();
        }
    }

    /** Returns what it last announced. */
    public UpstreamEntry entry() {
        return mEntry;
    }

    /** Keeps it in use until the given time although its announcement has gone. */
    void goneAt(long nanos) {
        mGoneAt = Math.min(mGoneAt, nanos);
    }

    /** Tells whether it is to be forgotten. */
    boolean isGone(long now) {
        return now >= mGoneAt;
    }

    /** Tells whether calls are likely to fail now. */
    public boolean isAvoided(long now) {
        return now < mAvoidUntil;
    }

    /** Returns the end of the time for which it is avoided. */
    public long avoidedUntil() {
        return mAvoidUntil;
    }

    /** Tells whether it has just started and bears little. */
    public boolean isCold(long now) {
        return now < mColdUntil;
    }

    /** Returns the time in nanoseconds until a cold upstream may get a call; 0 if not cold. */
    public long nanosUntilWarmEnough(int coldLimit, long now) {
        if (coldLimit == 0) {
            return 0;
        }
        // The calls of an upstream that is not cold are counted too, as it may turn cold any time.
        long wait = mColdRate.nanosUntilAllowed(coldLimit, now);
        return isCold(now) ? wait : 0;
    }

    /** Returns calls of this process that have not ended. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the memory that results occupy. */
    public ResultLedger results() {
        return mResults;
    }

    /** Returns the prompts that this process has it read. */
    public PromptLoad prompts() {
        return mPrompts;
    }

    /** Returns the observed time of its answers as a multiple of the expected time. */
    public double slowness() {
        return mSlowness;
    }

    /** Returns until when calls of others are believed to occupy it. */
    public long busyUntil() {
        return mBusyUntil;
    }

    /** Records that calls of others occupy it until the given time. */
    public void setBusyUntil(long nanos) {
        mBusyUntil = nanos;
    }

    /** Counts a call that is being sent. */
    public void onSent(long now) {
        mInFlight++;
        mColdRate.onSent(now);
    }

    /** Counts the end of a call, whatever it was. */
    public void onEnded() {
        mInFlight--;
    }

    /** Learns from a good answer. */
    public void onAnswer(double slowness) {
        mFailures = 0;
        double sample = Math.min(MAX_SLOWNESS, Math.max(0.2, slowness));
        mSlowness += SAMPLE_WEIGHT * (sample - mSlowness);
    }

    /**
     * Learns from a call without an answer, or with a failure.
     *
     * @param restarted whether the upstream may have been started anew
     * @param coldTime time for which it then is cold
     */
    public void onFailure(long now, boolean restarted, Duration coldTime) {
        long avoidance = FIRST_AVOIDANCE_NANOS << Math.min(MAX_DOUBLINGS, mFailures);
        mFailures++;
        mAvoidUntil = Math.max(mAvoidUntil, now + avoidance);
        if (restarted) {
            mColdUntil = Math.max(mColdUntil, mAvoidUntil + coldTime.toNanos());
        }
    }

    /** Avoids it for a while, because another process has its address. */
    public void avoidUntil(long nanos) {
        mAvoidUntil = Math.max(mAvoidUntil, nanos);
    }
}
