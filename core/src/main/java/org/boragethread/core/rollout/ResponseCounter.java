package org.boragethread.core.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Counts the responses of one order that an entry has seen. An entry creates one for each order
 * whose state it reads. Not thread-safe.
 */
public final class ResponseCounter {

    /** Failures that a report names by upstream; 250 take about 10 KB. The newest are kept. */
    private static final int MAX_NAMED = 250;

    private static final long CRASH_NANOS = Duration.ofSeconds(1).toNanos();

    private final TimeSource mTime;
    private final Map<String, Map<VersionSide, Tally>> mTallies = new HashMap<>();
    private final Map<UpstreamId, Deque<Long>> mCountedFailures = new HashMap<>();
    private final Map<FailureKey, Long> mNamed = new LinkedHashMap<>();

    /** Creates a counter without responses. */
    public ResponseCounter(TimeSource time) {
        mTime = time;
    }

    /**
     * Counts a response.
     *
     * @param relativeTime response time as a multiple of the predicted one; empty if the upstream
     *     is cold
     */
    public void onResponse(String route, VersionSide side, OptionalDouble relativeTime) {
        Tally tally = tally(route, side);
        tally.mResponses++;
        relativeTime.ifPresent(time -> tally.mTimes[VersionCounts.bucket(time)]++);
    }

    /**
     * Counts a failure: a 5xx, broken or missing response. A refusal that says that the request was
     * not run is none, and a request that its caller cancelled is not counted at all.
     */
    public void onFailure(String route, VersionSide side, UpstreamId upstream) {
        Tally tally = tally(route, side);
        tally.mResponses++;
        tally.mAllFailures++;
        if (isCounted(upstream)) {
            tally.mFailures++;
            long second = Math.floorDiv(mTime.millis(), 1000L);
            mNamed.merge(new FailureKey(route, side, upstream, second), 1L, Long::sum);
            if (mNamed.size() > MAX_NAMED) {
                mNamed.remove(mNamed.keySet().iterator().next());
            }
        }
    }

    private boolean isCounted(UpstreamId upstream) {
        long now = mTime.nanoTime();
        Deque<Long> counted = mCountedFailures.computeIfAbsent(upstream, key -> new ArrayDeque<>());
        while (!counted.isEmpty() && now - counted.peekFirst() >= CRASH_NANOS) {
            counted.removeFirst();
        }
        if (counted.size() >= UpstreamFailures.MAX_COUNT) {
            return false;
        }
        counted.addLast(now);
        return true;
    }

    /** Returns the totals. */
    public RolloutEvidence evidence() {
        Map<String, Map<VersionSide, VersionCounts>> counts = new HashMap<>();
        mTallies.forEach(
                (route, sides) -> {
                    Map<VersionSide, VersionCounts> copy = new EnumMap<>(VersionSide.class);
                    sides.forEach((side, tally) -> copy.put(side, tally.counts()));
                    counts.put(route, copy);
                });
        List<UpstreamFailures> failures = new ArrayList<>();
        mNamed.forEach((key, count) -> failures.add(key.failures(count)));
        return new RolloutEvidence(counts, failures);
    }

    private Tally tally(String route, VersionSide side) {
        return mTallies.computeIfAbsent(route, key -> new EnumMap<>(VersionSide.class))
                .computeIfAbsent(side, key -> new Tally());
    }

    /** What failures are counted by. */
    private record FailureKey(String route, VersionSide side, UpstreamId upstream, long second) {
        private UpstreamFailures failures(long count) {
            return new UpstreamFailures(route, side, upstream, second, count);
        }
    }

    private static final class Tally {
        private final long[] mTimes = new long[VersionCounts.BUCKETS];
        private long mResponses;
        private long mFailures;
        private long mAllFailures;

        private VersionCounts counts() {
            return new VersionCounts(mResponses, mFailures, mAllFailures, mTimes);
        }
    }
}
