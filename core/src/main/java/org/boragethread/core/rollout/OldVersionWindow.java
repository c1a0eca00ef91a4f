package org.boragethread.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * The latest responses of the old version on one route, with which those of the target version at
 * the same time are compared. Not thread-safe.
 */
final class OldVersionWindow {

    /** Responses that are kept at least; with 200, the estimate of the share errs by about 0.01. */
    private static final int MIN_RESPONSES = 200;

    /** Time over which responses are kept at least, in milliseconds. */
    private static final long MIN_MILLIS = 4000;

    /**
     * Responses of the latest interval from which its own share is used, as a disruption begins.
     */
    private static final int MIN_LATEST = 10;

    /**
     * Responses from which a great share of bad ones is a disruption; of one good one it is 0.25.
     */
    private static final int MIN_DISRUPTED = 20;

    /** Response times that the median is taken from at least. */
    private static final int MIN_TIMES = 10;

    /** First bucket over 2.5 times the median, relative to the bucket of the median. */
    private static final int SLOW_BUCKETS = VersionCounts.bucket(2.5) - VersionCounts.bucket(1);

    private final Deque<Interval> mIntervals = new ArrayDeque<>();
    private VersionCounts mSum = VersionCounts.NONE;
    private long mBad;
    private long mAllBad;
    private double mLatestShare;
    private double mLatestAllShare;

    void add(VersionCounts counts, long nowMillis) {
        if (counts.responses() == 0) {
            return;
        }
        long bad = bad(counts);
        long allBad = counts.allFailures() + slow(counts);
        mIntervals.addLast(new Interval(counts, bad, allBad, nowMillis));
        mSum = mSum.plus(counts);
        mBad += bad;
        mAllBad += allBad;
        boolean isEnough = responses(counts) >= MIN_LATEST;
        mLatestShare = isEnough ? share(bad, responses(counts)) : 0;
        mLatestAllShare = isEnough ? (double) allBad / counts.responses() : 0;
        Interval first = mIntervals.peekFirst();
        while (nowMillis - first.millis() > MIN_MILLIS
                && mSum.responses() - first.counts().responses() >= MIN_RESPONSES) {
            mIntervals.removeFirst();
            mSum = mSum.minus(first.counts());
            mBad -= first.bad();
            mAllBad -= first.allBad();
            first = mIntervals.peekFirst();
        }
    }

    /** Returns the number of bad responses: failures, and those over 2.5 times the median here. */
    long bad(VersionCounts counts) {
        return counts.failures() + slow(counts);
    }

    /** Returns the number of responses over 2.5 times the median here. */
    long slow(VersionCounts counts) {
        OptionalInt median =
                mSum.countFrom(0) < MIN_TIMES ? OptionalInt.empty() : mSum.medianBucket();
        return median.isEmpty() ? 0 : counts.countFrom(median.getAsInt() + SLOW_BUCKETS);
    }

    /** Returns the number of responses, without failures that don't count. */
    static long responses(VersionCounts counts) {
        return counts.responses() - counts.allFailures() + counts.failures();
    }

    /** Returns whether there are enough responses to tell a disruption. */
    boolean isShareKnown() {
        return mSum.responses() >= MIN_DISRUPTED;
    }

    /** Returns the share of bad responses now; a half if nothing is known. */
    double badShare() {
        return Math.max(mLatestShare, share(mBad, responses(mSum)));
    }

    /** Returns the share of bad responses now, with all failures; 0 if nothing is known. */
    double allBadShare() {
        return Math.max(mLatestAllShare, mAllBad / Math.max(1.0, mSum.responses()));
    }

    /** Returns the estimate with the least bias for few responses (Jeffreys). */
    private static double share(long bad, long responses) {
        return (bad + 0.5) / (responses + 1);
    }

    /** Responses between two looks. */
    private record Interval(VersionCounts counts, long bad, long allBad, long millis) {}
}
