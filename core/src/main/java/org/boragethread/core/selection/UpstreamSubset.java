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
 * The upstreams that one entry connects to when there are many. An entry takes the upstreams whose
 * rendezvous hash with it is greatest, and besides each upstream that counts this entry among its
 * own first few, so that every upstream is in enough subsets. One change of membership changes few
 * subsets by one upstream each.
 *
 * <p>Use one call for each group and data centre, so that every subset spans them all.
 */
public final class UpstreamSubset {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final String mSelf;
    private final int mSize;
    private final int mCoverage;

    /**
     * Makes the choice of one entry.
     *
     * @param self name of this entry, unique among entries
     * @param size number of upstreams that an entry takes by itself, at least 1
     * @param coverage number of entries that each upstream is sure of, not negative
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
     * Returns this entry's upstreams.
     *
     * @param upstreams all upstreams of a group
     * @param entries names of all known entries; this one may be missing
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
            if (isAmongFirst(upstream, hashes.get(upstream), others)) {
                chosen.add(upstream);
            }
        }
        return chosen;
    }

    private boolean isAmongFirst(UpstreamId upstream, long own, long[] others) {
        long upstreamHash = HASHER.hashCharsToLong(upstream.value());
        int better = 0;
        for (long entryHash : others) {
            if (HASHER.hashLongLongToLong(entryHash, upstreamHash) > own) {
                better++;
            }
            if (better >= mCoverage) {
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
