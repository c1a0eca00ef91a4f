package org.boragethread.bench.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.boragethread.bench.client.TimedAnswer;
import org.boragethread.standins.http.Json;

/** Outcomes of the requests of one run. Safe for use by several threads. */
final class Tally {

    private static final int DIGITS = 3;
    private static final int OK = 200;

    private final Histogram mLatency = new Histogram(DIGITS);
    private final Histogram mLateness = new Histogram(DIGITS);
    private final Map<String, Long> mFailures = new TreeMap<>();
    private final Map<String, long[]> mTeams = new TreeMap<>();
    private final Map<Long, long[]> mSeconds = new TreeMap<>();
    private final TreeMap<Long, Long> mGoodEnds = new TreeMap<>();
    private long mOffered;
    private long mAttained;
    private long mWrong;

    /** Notes how late the generator started a call, in nanoseconds. */
    synchronized void countStart(long lateNanos) {
        mLateness.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(lateNanos)));
    }

    /**
     * Notes the end of a request.
     *
     * @param beginNanos monotonic time of the beginning of the run, in nanoseconds
     * @param intendedNanos monotonic time at which it should have started, in nanoseconds
     * @param timed the answer, or null if there was none
     */
    synchronized void countEnd(
            String team, long beginNanos, long intendedNanos, TimedAnswer timed, byte[] body) {
        boolean attained = attained(intendedNanos, timed, body);
        mOffered++;
        mAttained += attained ? 1 : 0;
        add(mTeams.computeIfAbsent(team, key -> new long[2]), attained);
        long second = TimeUnit.NANOSECONDS.toSeconds(intendedNanos - beginNanos);
        add(mSeconds.computeIfAbsent(second, key -> new long[2]), attained);
        if (attained) {
            long endSecond = TimeUnit.NANOSECONDS.toSeconds(timed.endNanos() - beginNanos);
            mGoodEnds.merge(endSecond, 1L, Long::sum);
        }
    }

    /** Returns how many good answers came from one second of the run until before another. */
    synchronized long goodEnds(long fromSecond, long toSecond) {
        return mGoodEnds.subMap(fromSecond, toSecond).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    synchronized long offered() {
        return mOffered;
    }

    synchronized long attained() {
        return mAttained;
    }

    /** Returns how many answers had another content than the right one. */
    synchronized long wrong() {
        return mWrong;
    }

    /** Returns the share of requests that were answered whole within their deadline. */
    synchronized double attainment() {
        return mAttained / (double) mOffered;
    }

    /** Returns the attainment of one team; not a number if it offered nothing. */
    synchronized double attainment(String team) {
        long[] counts = mTeams.getOrDefault(team, new long[2]);
        return counts[1] / (double) counts[0];
    }

    /** Returns the attainment of each second as text. */
    synchronized String seconds() {
        StringBuilder text = new StringBuilder();
        mSeconds.forEach(
                (second, counts) ->
                        text.append(" %d:%d/%d".formatted(second, counts[1], counts[0])));
        return text.toString().strip();
    }

    synchronized Map<String, Long> failures() {
        return Map.copyOf(mFailures);
    }

    synchronized Histogram latency() {
        return mLatency.copy();
    }

    synchronized Histogram lateness() {
        return mLateness.copy();
    }

    private boolean attained(long intendedNanos, TimedAnswer timed, byte[] body) {
        if (timed == null) {
            fail("no answer");
            return false;
        }
        if (timed.answer().status() != OK) {
            String reason = Json.tree(timed.answer().body()).path("reason").asText();
            fail("%d %s".formatted(timed.answer().status(), reason));
            return false;
        }
        if (LoadDeployment.ANSWER.fault(timed.answer(), body).isPresent()) {
            mWrong++;
            fail("wrong content");
            return false;
        }
        long nanos = timed.endNanos() - intendedNanos;
        mLatency.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
        if (nanos > TimeUnit.MILLISECONDS.toNanos(LoadDeployment.DEADLINE_MS)) {
            fail("late answer");
            return false;
        }
        return true;
    }

    private void fail(String reason) {
        mFailures.merge(reason, 1L, Long::sum);
    }

    private static void add(long[] counts, boolean attained) {
        counts[0]++;
        counts[1] += attained ? 1 : 0;
    }
}
