package org.boragethread.bench.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.boragethread.bench.client.TimedAnswer;
import org.boragethread.standins.http.Json;

/** Counts the outcomes of the requests of one run. Thread-safe. */
final class RunStatistics {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;

    private final Histogram mLatency = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mLateness = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Long> mFailures = new TreeMap<>();
    private final Map<String, long[]> mCountsByTeam = new TreeMap<>();
    private final Map<Long, long[]> mCountsBySecond = new TreeMap<>();
    private final TreeMap<Long, Long> mAttainedBySecond = new TreeMap<>();
    private long mOffered;
    private long mAttained;
    private long mWrong;

    /** Records how late the generator started a call, in nanoseconds. */
    synchronized void recordStart(long lateNanos) {
        mLateness.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(lateNanos)));
    }

    /**
     * Records the end of a request.
     *
     * @param beginNanos monotonic time at which the run started, in nanoseconds
     * @param intendedNanos monotonic time at which it should have started, in nanoseconds @@param
     *     timed the response, or null if there was none
     */
    synchronized void recordEnd(
            String team, long beginNanos, long intendedNanos, TimedAnswer timed, byte[] body) {
        boolean attained = isAttained(intendedNanos, timed, body);
        mOffered++;
        mAttained += attained ? 1 : 0;
        add(mCountsByTeam.computeIfAbsent(team, key -> new long[2]), attained);
        long second = TimeUnit.NANOSECONDS.toSeconds(intendedNanos - beginNanos);
        add(mCountsBySecond.computeIfAbsent(second, key -> new long[2]), attained);
        if (attained) {
            long endSecond = TimeUnit.NANOSECONDS.toSeconds(timed.endNanos() - beginNanos);
            mAttainedBySecond.merge(endSecond, 1L, Long::sum);
        }
    }

    /** Counts the attained requests that ended from one second of the run until before another. */
    synchronized long attainedBetween(long fromSecond, long toSecond) {
        return mAttainedBySecond.subMap(fromSecond, toSecond).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    synchronized long offered() {
        return mOffered;
    }

    synchronized long attained() {
        return mAttained;
    }

    /** Returns the number of responses with wrong content. */
    synchronized long wrongAnswers() {
        return mWrong;
    }

    /** Returns the share of requests that were answered completely within their deadline. */
    synchronized double attainment() {
        return mAttained / (double) mOffered;
    }

    /** Returns the attainment of one team, or NaN if it sent no request. */
    synchronized double attainment(String team) {
        long[] counts = mCountsByTeam.getOrDefault(team, new long[2]);
        return counts[1] / (double) counts[0];
    }

    /** Returns attained and sent requests for each second of the run as text. */
    synchronized String countsBySecond() {
        StringBuilder text = new StringBuilder();
        mCountsBySecond.forEach(
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

    private boolean isAttained(long intendedNanos, TimedAnswer timed, byte[] body) {
        if (timed == null) {
            countFailure("no answer");
            return false;
        }
        if (timed.answer().status() != OK) {
            String reason = Json.parseTree(timed.answer().body()).path("reason").asText();
            countFailure("%d %s".formatted(timed.answer().status(), reason));
            return false;
        }
        if (LoadDeployment.ANSWER.mismatch(timed.answer(), body).isPresent()) {
            mWrong++;
            countFailure("wrong content");
            return false;
        }
        long nanos = timed.endNanos() - intendedNanos;
        mLatency.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
        if (nanos > TimeUnit.MILLISECONDS.toNanos(LoadDeployment.DEADLINE_MS)) {
            countFailure("late answer");
            return false;
        }
        return true;
    }

    private void countFailure(String reason) {
        mFailures.merge(reason, 1L, Long::sum);
    }

    private static void add(long[] counts, boolean attained) {
        counts[0]++;
        counts[1] += attained ? 1 : 0;
    }
}
