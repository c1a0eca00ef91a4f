package org.boragethread.core.stage;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;

/**
 * Assigns each group a coordinator: the entry that schedules the pieces of all entries, so that
 * they share batch calls. Coordinators are the entries that have run longest, of those that have
 * enough capacity. An entry that starts therefore takes no group from a live coordinator, whose
 * knowledge of results and calls would be lost. Entries with different views of the members may
 * assign different coordinators for a while, which only reduces efficiency. Not thread-safe.
 */
public final class CoordinatorTable {

    /** Time for which an entry that did not respond is not assigned any group. */
    private static final long AVOIDANCE_NANOS = Duration.ofMillis(1500).toNanos();

    /**
     * Number of entries per coordinator; up to this number, a single entry coordinates all groups.
     * The busiest of nine entries used 0.08 of a core, start-up included.
     */
    private static final int MEMBERS_PER_COORDINATOR = 16;

    /**
     * Share of the largest capacity that a coordinator must have. A small entry would delay the
     * pieces of all others.
     */
    private static final double MIN_CAPACITY_SHARE = 0.5;

    private final TimeSource mTime;
    private final Map<String, Long> mAvoided = new HashMap<>();
    private List<Member> mCandidates = List.of();
    private int mMemberCount;

    /** Creates a table without members. */
    public CoordinatorTable(TimeSource time) {
        mTime = time;
    }

    /**
     * Replaces the list of live entries, which includes this one. Of two entries with the same
     * address only the later one is alive; the membership of the other, which was killed, has not
     * expired yet.
     */
    public void setMembers(List<Member> members) {
        Map<String, Member> latest = new HashMap<>();
        for (Member member : members) {
            latest.merge(member.address(), member, (a, b) -> a.startedAt() > b.startedAt() ? a : b);
        }
        int largest = latest.values().stream().mapToInt(Member::capacity).max().orElse(0);
        List<Member> bySeniority = new ArrayList<>();
        for (Member member : latest.values()) {
            if (member.capacity() >= MIN_CAPACITY_SHARE * largest) {
                bySeniority.add(member);
            }
        }
        bySeniority.sort(
                Comparator.comparingLong(Member::startedAt).thenComparing(Member::address));
        mCandidates = List.copyOf(bySeniority);
        mMemberCount = latest.size();
    }

    /** Excludes an entry for a while, because it did not respond. */
    public void avoid(String address) {
        mAvoided.put(address, mTime.nanoTime() + AVOIDANCE_NANOS);
    }

    /** Returns the address of the group's coordinator, chosen by rendezvous hashing. */
    public Optional<String> coordinator(GroupId group) {
        long now = mTime.nanoTime();
        mAvoided.values().removeIf(until -> until <= now);
        return first(coordinators(mAvoided.keySet()), group.value());
    }

    /**
     * Returns the address of the entry from which another one reads the topics of the store: a
     * coordinator, found by rendezvous hashing. Empty if the entry reads from the store itself,
     * because it is a coordinator or none is known.
     */
    public Optional<String> relayFor(String address) {
        List<String> coordinators = coordinators(Set.of());
        return coordinators.contains(address) ? Optional.empty() : first(coordinators, address);
    }

    private List<String> coordinators(Set<String> excluded) {
        int count = -Math.floorDiv(-mMemberCount, MEMBERS_PER_COORDINATOR);
        List<String> coordinators = new ArrayList<>();
        for (Member member : mCandidates) {
            if (coordinators.size() == count) {
                break;
            }
            if (!excluded.contains(member.address())) {
                coordinators.add(member.address());
            }
        }
        return coordinators;
    }

    /** Returns the first address in the rendezvous order of a key. */
    private static Optional<String> first(List<String> addresses, String key) {
        Optional<String> best = Optional.empty();
        long bestWeight = Long.MAX_VALUE;
        for (String address : addresses) {
            long weight = Hashing.komihash5_0().hashCharsToLong(key + '/' + address);
            if (best.isEmpty() || weight < bestWeight) {
                bestWeight = weight;
                best = Optional.of(address);
            }
        }
        return best;
    }
}
