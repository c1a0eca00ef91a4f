package org.boragethread.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.boragethread.model.upstream.UpstreamId;

/**
 * First engines in the rendezvous order of each prefix. The order of a prefix is computed once
 * while the engines stay the same. Not thread-safe.
 */
final class PrefixRanks {

    /** Engines that are told apart; all others share the last rank. */
    static final int RANKS = 4;

    private static final int MAX_PREFIXES = 8192;

    private final Map<Long, UpstreamId[]> mFirst =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, UpstreamId[]> eldest) {
                    return size() > MAX_PREFIXES;
                }
            };

    private final List<UpstreamId> mEngines = new ArrayList<>();
    private final List<Long> mHashes = new ArrayList<>();

    /** Replaces the engines. */
    void setEngines(List<UpstreamId> engines) {
        if (engines.equals(mEngines)) {
            return;
        }
        mEngines.clear();
        mEngines.addAll(engines);
        mHashes.clear();
        engines.forEach(id -> mHashes.add(Hashing.komihash5_0().hashCharsToLong(id.value())));
        mFirst.clear();
    }

    /** Returns the first engines in the order of a prefix. */
    UpstreamId[] first(long prefix) {
        return mFirst.computeIfAbsent(prefix, this::computeFirst);
    }

    /** Returns the rank of an engine among the first ones of a prefix. */
    static int rank(UpstreamId[] first, UpstreamId engine) {
        for (int rank = 0; rank < first.length; rank++) {
            if (first[rank].equals(engine)) {
                return rank;
            }
        }
        return RANKS;
    }

    private UpstreamId[] computeFirst(long prefix) {
        int size = Math.min(RANKS, mEngines.size());
        UpstreamId[] first = new UpstreamId[size];
        long[] weights = new long[size];
        int found = 0;
        for (int i = 0; i < mEngines.size(); i++) {
            long weight =
                    Hashing.komihash5_0()
                            .hashStream()
                            .putLong(mHashes.get(i))
                            .putLong(prefix)
                            .getAsLong();
            int at = found;
            while (at > 0 && weights[at - 1] > weight) {
                at--;
            }
            if (at == size) {
                continue;
            }
            found = Math.min(size, found + 1);
            System.arraycopy(weights, at, weights, at + 1, found - 1 - at);
            System.arraycopy(first, at, first, at + 1, found - 1 - at);
            weights[at] = weight;
            first[at] = mEngines.get(i);
        }
        return first;
    }
}
