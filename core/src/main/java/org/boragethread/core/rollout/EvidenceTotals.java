package org.boragethread.core.rollout;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Sum of the evidence of all entries on one order: the newest report of each start of each entry,
 * so that nothing is counted twice and the responses of entries that ended still count. Not
 * thread-safe.
 */
final class EvidenceTotals {

    private final Map<Incarnation, EntryReport> mNewest = new HashMap<>();

    void add(EntryReport report) {
        mNewest.merge(
                new Incarnation(report.address(), report.startedAt()),
                report,
                (known, other) -> other.sequence() > known.sequence() ? other : known);
    }

    RolloutEvidence sum() {
        Map<String, Map<VersionSide, long[]>> sums = new HashMap<>();
        for (EntryReport report : mNewest.values()) {
            addTo(sums, report.evidence());
        }
        Map<String, Map<VersionSide, VersionCounts>> counts = new HashMap<>();
        sums.forEach(
                (route, sides) -> {
                    Map<VersionSide, VersionCounts> copy = new EnumMap<>(VersionSide.class);
                    sides.forEach((side, sum) -> copy.put(side, VersionCounts.fromArray(sum)));
                    counts.put(route, copy);
                });
        return new RolloutEvidence(counts);
    }

    private static void addTo(
            Map<String, Map<VersionSide, long[]>> sums, RolloutEvidence evidence) {
        for (String route : evidence.routes()) {
            Map<VersionSide, long[]> sides =
                    sums.computeIfAbsent(route, key -> new EnumMap<>(VersionSide.class));
            for (VersionSide side : VersionSide.values()) {
                long[] sum =
                        sides.computeIfAbsent(side, key -> new long[VersionCounts.ARRAY_LENGTH]);
                evidence.counts(route, side).addTo(sum);
            }
        }
    }

    /** One start of an entry. */
    private record Incarnation(String address, long startedAt) {}
}
