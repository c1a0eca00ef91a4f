package org.boragethread.core.selection;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Chooses the upstreams that an entry connects to when a group has many. An entry connects to the
 * upstreams with the greatest rendezvous hash for it, and in addition to every upstream for which
 * it ranks among the first few entries, so that each upstream is in enough subsets. A change of
 * membership affects only few subsets, and each of them by one upstream.
 *
 * <p>Call it once per group and data centre, so that every subset includes upstreams of all of
 * them.
 */
public final class UpstreamSubset {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final String mSelf;
    private final int mSize;
    private final int mCoverage;

    /**
     * Creates the subset selection of an entry.
     *
     * @param self name of this entry, unique among entries
     * @param size number of upstreams that an entry chooses by its own ranking, at least 1
     * @param coverage minimum number of entries that connect to each upstream, not negative
     */
    public UpstreamSubset(String self, int size, int coverage) {
        if (size < 1 || coverage < 0) {
            throw new IllegalArgumentException(
                    "size %d must be at least 1 and coverage %d not negative"
                            .formatted(size, coverage));
        }
        mSelf = self;
        mSize = size;
        mCoverage = coverage;
    }

    /**
     * Returns the upstreams that this entry connects to.
     *
     * @param upstreams all upstreams of a group
     * @param entries names of all known entries; this entry may be missing
     */
    public Set<UpstreamId> choose(Collection<UpstreamId> upstreams, Collection<String> entries) {
        if (upstreams.size() <= mSize) {
            return new LinkedHashSet<>(upstreams);
        }
        List<UpstreamId> ranked = new ArrayList<>(upstreams);
        Map<UpstreamId, Long> hashes = new HashMap<>();
        ranked.forEach(upstream -> hashes.put(upstream, hash(mSelf, upstream)));
        ranked.sort(
                Comparator.comparing((UpstreamId upstream) -> hashes.get(upstream))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()));
        long[] others =
                entries.stream()
                        .filter(entry -> !entry.equals(mSelf))
                        .mapToLong(HASHER::hashCharsToLong)
                        .toArray();
        Set<UpstreamId> chosen = new LinkedHashSet<>(ranked.subList(0, mSize));
        for (UpstreamId upstream : ranked) {
            if (isCoveredBySelf(upstream, hashes.get(upstream), others)) {
                chosen.add(upstream);
            }
        }
        return chosen;
    }

    private boolean isCoveredBySelf(UpstreamId upstream, long ownHash, long[] others) {
        long upstreamHash = HASHER.hashCharsToLong(upstream.value());
        int higherRanked = 0;
        for (long entryHash : others) {
            if (HASHER.hashLongLongToLong(entryHash, upstreamHash) > ownHash) {
                higherRanked++;
            }
            if (higherRanked >= mCoverage) {
                return false;
            }
        }
        return mCoverage > 0;
    }

    private static long hash(String entry, UpstreamId upstream) {
        return HASHER.hashLongLongToLong(
                HASHER.hashCharsToLong(entry), HASHER.hashCharsToLong(upstream.value()));
    }
}
