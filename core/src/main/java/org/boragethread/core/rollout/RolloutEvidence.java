package org.boragethread.core.rollout;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Counts of responses by route and side. Immutable; sums of the reports of all entries are evidence
 * too.
 */
public final class RolloutEvidence {

    /** No responses. */
    public static final RolloutEvidence NONE = new RolloutEvidence(Map.of());

    private final Map<String, Map<VersionSide, VersionCounts>> mCounts;
    private final List<UpstreamFailures> mFailures;

    /**
     * Creates evidence that names no upstreams.
     *
     * @param counts counts by name of the route and side; a missing side has none
     */
    public RolloutEvidence(Map<String, Map<VersionSide, VersionCounts>> counts) {
        this(counts, List.of());
    }

    /**
     * Creates evidence of one entry.
     *
     * @param counts counts by name of the route and side; a missing side has none
     * @param failures the latest of the counted failures, which the counts include
     */
    public RolloutEvidence(
            Map<String, Map<VersionSide, VersionCounts>> counts, List<UpstreamFailures> failures) {
        mFailures = List.copyOf(failures);
        Map<String, Map<VersionSide, VersionCounts>> copy = new TreeMap<>();
        counts.forEach((route, sides) -> copy.put(route, Map.copyOf(sides)));
        mCounts = copy;
    }

    public Set<String> routes() {
        return Set.copyOf(mCounts.keySet());
    }

    /** Returns the latest counted failures by upstream and second; sums have none. */
    public List<UpstreamFailures> failures() {
        return mFailures;
    }

    /** Returns the counts of one side on one route. */
    public VersionCounts counts(String route, VersionSide side) {
        return mCounts.getOrDefault(route, Map.of()).getOrDefault(side, VersionCounts.NONE);
    }

    /** Returns the counts of one side on all routes. */
    public VersionCounts total(VersionSide side) {
        VersionCounts total = VersionCounts.NONE;
        for (String route : mCounts.keySet()) {
            total = total.plus(counts(route, side));
        }
        return total;
    }

    /** Returns the sum. */
    public RolloutEvidence plus(RolloutEvidence other) {
        return combine(other, true);
    }

    /** Returns what was added since earlier evidence. */
    RolloutEvidence minus(RolloutEvidence earlier) {
        return combine(earlier, false);
    }

    private RolloutEvidence combine(RolloutEvidence other, boolean add) {
        Map<String, Map<VersionSide, VersionCounts>> combined = new TreeMap<>();
        Set<String> routes = new TreeSet<>(mCounts.keySet());
        routes.addAll(other.mCounts.keySet());
        for (String route : routes) {
            Map<VersionSide, VersionCounts> sides = new EnumMap<>(VersionSide.class);
            for (VersionSide side : VersionSide.values()) {
                VersionCounts own = counts(route, side);
                VersionCounts others = other.counts(route, side);
                sides.put(side, add ? own.plus(others) : own.minus(others));
            }
            combined.put(route, sides);
        }
        return new RolloutEvidence(combined);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof RolloutEvidence other
                && mCounts.equals(other.mCounts)
                && mFailures.equals(other.mFailures);
    }

    @Override
    public int hashCode() {
        return mCounts.hashCode();
    }
}
