package org.boragethread.core.stage;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;

/**
 * Which entry schedules the pieces of each group, so that the pieces of all entries share calls.
 * The entries that have run longest do it: one that starts takes no group from a live one, whose
 * knowledge of results and calls would be lost. Entries that see different members choose
 * differently for a while; that costs only efficiency. Not safe for use by several threads.
 */
public final class CoordinatorTable {

    /** Time for which an entry that did not answer is passed over. */
    private static final long AVOIDANCE_NANOS = Duration.ofMillis(1500).toNanos();

    /**
     * Number of entries for each one that coordinates: below it a single entry sees all groups. The
     * busiest of nine entries used 0.08 of a core, its start included.
     */
    private static final int MEMBERS_PER_COORDINATOR = 16;

    private final TimeSource mTime;
    private final Map<String, Long> mAvoided = new HashMap<>();
    private List<Member> mMembers = List.of();

    /** Makes a table without members. */
    public CoordinatorTable(TimeSource time) {
        mTime = time;
    }

    /**
     * Replaces all live entries, this one included. Of two with one address the later one lives;
     * the other was killed and has not lapsed yet.
     */
    public void setMembers(List<Member> members) {
        Map<String, Member> latest = new HashMap<>();
        for (Member member : members) {
            latest.merge(member.address(), member, (a, b) -> a.startedAt() > b.startedAt() ? a : b);
        }
        List<Member> bySeniority = new ArrayList<>(latest.values());
        bySeniority.sort(
                Comparator.comparingLong(Member::startedAt).thenComparing(Member::address));
        mMembers = List.copyOf(bySeniority);
    }

    /** Passes an entry over for a while, because it did not answer. */
    public void avoid(String address) {
        mAvoided.put(address, mTime.nanoTime() + AVOIDANCE_NANOS);
    }

    /** Returns the address of the entry that schedules a group's pieces. */
    public Optional<String> coordinator(GroupId group) {
        long now = mTime.nanoTime();
        mAvoided.values().removeIf(until -> until <= now);
        int count = -Math.floorDiv(-mMembers.size(), MEMBERS_PER_COORDINATOR);
        Optional<String> best = Optional.empty();
        long least = Long.MAX_VALUE;
        for (Member member : mMembers) {
            if (mAvoided.containsKey(member.address())) {
                continue;
            }
            if (count == 0) {
                break;
            }
            count--;
            long weight =
                    Hashing.komihash5_0().hashCharsToLong(group.value() + '/' + member.address());
            if (best.isEmpty() || weight < least) {
                least = weight;
                best = Optional.of(member.address());
            }
        }
        return best;
    }
}
