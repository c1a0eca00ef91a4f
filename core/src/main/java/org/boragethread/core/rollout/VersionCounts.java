package org.boragethread.core.rollout;

import java.util.Arrays;
import java.util.OptionalInt;

/**
 * Counts of the responses of one side on one route. Immutable.
 *
 * @param responses responses, failures included
 * @param failures failures, of which those of one upstream within a second count at most three
 *     times
 * @param allFailures failures, all counted
 * @param times number of responses by {@link #bucket} of the response time relative to the
 *     prediction; has {@link #BUCKETS} elements, and does not include failures and responses of
 *     cold upstreams
 */
public record VersionCounts(long responses, long failures, long allFailures, long[] times) {

    /** Number of buckets of response times. */
    public static final int BUCKETS = 96;

    /** Length of the array that {@link #addTo} needs. */
    static final int ARRAY_LENGTH = BUCKETS + 3;

    /** No responses. */
    public static final VersionCounts NONE = new VersionCounts(0, 0, 0, new long[BUCKETS]);

    private static final int BUCKETS_PER_DOUBLING = 8;
    private static final int BUCKET_OF_ONE = 32;

    /**
     * Creates counts.
     *
     * @throws IllegalArgumentException if the number of buckets is wrong or a count is negative
     */
    public VersionCounts {
        if (times.length != BUCKETS) {
            throw new IllegalArgumentException(
                    "counts have %d buckets: use %d".formatted(times.length, BUCKETS));
        }
        boolean isNegative = responses < 0 || failures < 0 || allFailures < 0;
        if (isNegative || Arrays.stream(times).anyMatch(count -> count < 0)) {
            throw new IllegalArgumentException("counts are negative: use totals since the order");
        }
        times = times.clone();
    }

    @Override
    public long[] times() {
        return times.clone();
    }

    /**
     * Returns the bucket of a response time relative to the prediction; eight for each doubling.
     */
    public static int bucket(double relativeTime) {
        double doublings = Math.log(Math.max(relativeTime, Double.MIN_NORMAL)) / Math.log(2);
        // Clamped before the addition, which overflows for an infinite time.
        long offset = Math.min(BUCKETS, Math.round(BUCKETS_PER_DOUBLING * doublings));
        return (int) Math.max(0, Math.min(BUCKETS - 1, BUCKET_OF_ONE + offset));
    }

    /** Adds the counts to an array, in which sums over many entries are made without copies. */
    void addTo(long[] sum) {
        for (int i = 0; i < BUCKETS; i++) {
            sum[i] += times[i];
        }
        sum[BUCKETS] += responses;
        sum[BUCKETS + 1] += failures;
        sum[BUCKETS + 2] += allFailures;
    }

    /** Returns the counts in an array to which {@link #addTo} added some. */
    static VersionCounts fromArray(long[] sum) {
        return new VersionCounts(
                sum[BUCKETS], sum[BUCKETS + 1], sum[BUCKETS + 2], Arrays.copyOf(sum, BUCKETS));
    }

    /** Returns the sum. */
    public VersionCounts plus(VersionCounts other) {
        long[] sums = times.clone();
        for (int i = 0; i < BUCKETS; i++) {
            sums[i] += other.times[i];
        }
        return new VersionCounts(
                responses + other.responses,
                failures + other.failures,
                allFailures + other.allFailures,
                sums);
    }

    /** Returns the responses that were added since earlier counts of the same reports. */
    VersionCounts minus(VersionCounts earlier) {
        long[] differences = times.clone();
        for (int i = 0; i < BUCKETS; i++) {
            differences[i] = Math.max(0, differences[i] - earlier.times[i]);
        }
        return new VersionCounts(
                Math.max(0, responses - earlier.responses),
                Math.max(0, failures - earlier.failures),
                Math.max(0, allFailures - earlier.allFailures),
                differences);
    }

    /** Returns the bucket of the median; empty without response times. */
    OptionalInt medianBucket() {
        long total = Arrays.stream(times).sum();
        long seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += times[i];
            if (total > 0 && 2 * seen >= total) {
                return OptionalInt.of(i);
            }
        }
        return OptionalInt.empty();
    }

    /** Returns the number of responses in the buckets from one on. */
    long countFrom(int bucket) {
        long count = 0;
        for (int i = Math.max(0, bucket); i < BUCKETS; i++) {
            count += times[i];
        }
        return count;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof VersionCounts other
                && responses == other.responses
                && failures == other.failures
                && allFailures == other.allFailures
                && Arrays.equals(times, other.times);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(responses) + 31 * Arrays.hashCode(times);
    }
}
