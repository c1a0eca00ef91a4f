package org.boragethread.core.resume;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.Stream;
import org.boragethread.core.member.Member;
import org.boragethread.model.place.DataCentreId;

/**
 * Assigns each stream the entries that remember its origin, by rendezvous hashing. They are in
 * different data centres if there are enough. Entries with different views of the members agree on
 * most owners. Not thread-safe.
 */
public final class StreamOwners {

    /** Entries that remember the origin of a stream, besides the one that forwards it. */
    public static final int REPLICAS = 2;

    /** Entries that are asked: one more, since a member may have just joined or left. */
    public static final int MAX_OWNERS = REPLICAS + 1;

    private List<Candidate> mCandidates = List.of();

    /** An entry with a hash of its address. */
    private record Candidate(Member member, long addressHash) {}

    /** An entry with its place in the order of one stream; the lowest weight is the first. */
    private record Ranked(Member member, long weight) {

        private static final Comparator<Ranked> ORDER = Comparator.comparingLong(Ranked::weight);

        static Ranked first(Ranked a, Ranked b) {
            return ORDER.compare(a, b) <= 0 ? a : b;
        }
    }

    /** Replaces the list of live entries. */
    public void setMembers(List<Member> members) {
        mCandidates =
                members.stream()
                        .map(member -> new Candidate(member, hash(member.address())))
                        .toList();
    }

    private static long hash(String address) {
        return Hashing.komihash5_0().hashCharsToLong(address);
    }

    /** Returns the addresses of a stream's owners, at most {@link #MAX_OWNERS}, the first first. */
    public List<String> of(StreamKey key) {
        Map<DataCentreId, Ranked> firstByDataCentre = new HashMap<>();
        PriorityQueue<Ranked> firstOfAll = new PriorityQueue<>(Ranked.ORDER.reversed());
        for (Candidate candidate : mCandidates) {
            Ranked ranked = new Ranked(candidate.member(), weight(key, candidate));
            firstByDataCentre.merge(candidate.member().dataCentre(), ranked, Ranked::first);
            firstOfAll.add(ranked);
            if (firstOfAll.size() > MAX_OWNERS) {
                firstOfAll.remove();
            }
        }
        return Stream.of(firstByDataCentre.values(), firstOfAll)
                .flatMap(group -> group.stream().sorted(Ranked.ORDER))
                .map(ranked -> ranked.member().address())
                .distinct()
                .limit(MAX_OWNERS)
                .toList();
    }

    private static long weight(StreamKey key, Candidate candidate) {
        return Hashing.komihash5_0()
                .hashStream()
                .putLong(key.high())
                .putLong(key.low())
                .putLong(candidate.addressHash())
                .getAsLong();
    }
}
