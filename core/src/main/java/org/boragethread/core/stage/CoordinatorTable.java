package org.boragethread.core.stage;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.place.DataCentreId;
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
    private static final long MIN_AVOIDANCE_NANOS = Duration.ofMillis(1500).toNanos();

    /** The time doubles up to this one if the entry does not respond again. */
    private static final long MAX_AVOIDANCE_NANOS = Duration.ofSeconds(6).toNanos();

    /**
     * Number of coordinators of all data centres that are tried. If they do not respond, this data
     * centre is probably cut off, and its entries agree on a coordinator among themselves.
     */
    private static final int MAX_COMMON_COORDINATORS = 2;

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
    private final DataCentreId mDataCentre;
    private final Map<String, Avoidance> mAvoidances = new HashMap<>();
    private int mMemberCount;
    private List<Member> mCandidates = List.of();
    private List<Member> mNeighbours = List.of();
    private List<String> mCoordinators = List.of();
    private final Map<GroupId, List<String>> mOrders = new HashMap<>();

    /**
     * Creates a table without members.
     *
     * @param dataCentre data centre of this process
     */
    public CoordinatorTable(TimeSource time, DataCentreId dataCentre) {
        mTime = time;
        mDataCentre = dataCentre;
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
        mMemberCount = latest.size();
        mCandidates = candidates(latest.values());
        mNeighbours =
                candidates(
                        latest.values().stream()
                                .filter(member -> member.dataCentre().equals(mDataCentre))
                                .toList());
        mCoordinators = coordinators(latest.size());
        mOrders.clear();
    }

    /** Returns the number of live entries as far as they are known, this one included. */
    public int memberCount() {
        return mMemberCount;
    }

    /** Returns the members with enough capacity, the oldest first. */
    private static List<Member> candidates(Collection<Member> members) {
        int largest = members.stream().mapToInt(Member::capacity).max().orElse(0);
        List<Member> bySeniority = new ArrayList<>();
        for (Member member : members) {
            if (member.capacity() >= MIN_CAPACITY_SHARE * largest) {
                bySeniority.add(member);
            }
        }
        bySeniority.sort(
                Comparator.comparingLong(Member::startedAt).thenComparing(Member::address));
        return List.copyOf(bySeniority);
    }

    /** Excludes an entry for a while, because it did not respond. */
    public void avoid(String address) {
        long now = mTime.nanoTime();
        Avoidance previous = mAvoidances.get(address);
        boolean repeated = previous != null && now - previous.until() < MIN_AVOIDANCE_NANOS;
        long length =
                repeated
                        ? Math.min(2 * previous.length(), MAX_AVOIDANCE_NANOS)
                        : MIN_AVOIDANCE_NANOS;
        mAvoidances.put(address, new Avoidance(now + length, length));
    }

    /**
     * Called when an entry responds, perhaps after it was excluded because a response was late. Its
     * exclusion ends then, unless it is the second one in a short time.
     */
    public void onResponse(String address) {
        Avoidance avoidance = mAvoidances.get(address);
        if (avoidance != null && avoidance.length() == MIN_AVOIDANCE_NANOS && isAvoided(address)) {
            mAvoidances.put(address, new Avoidance(mTime.nanoTime(), avoidance.length()));
        }
    }

    private boolean isAvoided(String address) {
        Avoidance avoidance = mAvoidances.get(address);
        return avoidance != null && mTime.nanoTime() < avoidance.until();
    }

    /**
     * Returns the address of the group's coordinator: one that all entries agree on, or one of this
     * data centre if those do not respond. Empty if there is none but this process.
     */
    public Optional<String> coordinator(GroupId group) {
        int tried = 0;
        for (String address : mOrders.computeIfAbsent(group, this::commonCoordinators)) {
            if (!isAvoided(address)) {
                return Optional.of(address);
            }
            tried++;
            if (tried == MAX_COMMON_COORDINATORS) {
                break;
            }
        }
        for (Member neighbour : mNeighbours) {
            if (!isAvoided(neighbour.address())) {
                return Optional.of(neighbour.address());
            }
        }
        return Optional.empty();
    }

    /** Returns the coordinators in the rendezvous order of a group, then all others. */
    private List<String> commonCoordinators(GroupId group) {
        List<String> addresses = new ArrayList<>(mCoordinators);
        addresses.sort(Comparator.comparingLong(address -> weight(group.value(), address)));
        for (Member member : mCandidates) {
            if (!addresses.contains(member.address())) {
                addresses.add(member.address());
            }
        }
        return addresses;
    }

    /**
     * Returns the address of the entry from which another one reads the topics of the store: a
     * coordinator, found by rendezvous hashing. Empty if the entry reads from the store itself,
     * because it is a coordinator or none is known.
     */
    public Optional<String> relayFor(String address) {
        if (mCoordinators.contains(address)) {
            return Optional.empty();
        }
        return mCoordinators.stream()
                .min(Comparator.comparingLong(coordinator -> weight(address, coordinator)));
    }

    private List<String> coordinators(int members) {
        int count = -Math.floorDiv(-members, MEMBERS_PER_COORDINATOR);
        return mCandidates.stream().limit(count).map(Member::address).toList();
    }

    private static long weight(String key, String address) {
        return Hashing.komihash5_0().hashCharsToLong(key + '/' + address);
    }

    /**
     * The time during which an entry is assigned no group.
     *
     * @param until monotonic time in nanoseconds at which it ends
     * @param length its length in nanoseconds
     */
    private record Avoidance(long until, long length) {}
}
