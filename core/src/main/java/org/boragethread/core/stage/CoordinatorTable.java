package org.boragethread.core.stage;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;

/**
 * Which entry schedules the pieces of each group, so that the pieces of all entries share calls.
 * Entries that see different members choose differently for a while; that costs only efficiency.
 * Not safe for use by several threads.
 */
public final class CoordinatorTable {

    /** Time for which an entry that did not answer is passed over. */
    private static final long AVOIDANCE_NANOS = Duration.ofMillis(1500).toNanos();

    private final TimeSource mTime;
    private final Map<String, Long> mAvoided = new HashMap<>();
    private List<String> mMembers = List.of();

    /** Makes a table without members. */
    public CoordinatorTable(TimeSource time) {
        mTime = time;
    }

    /** Replaces the addresses of all live entries, this one included. */
    public void setMembers(List<String> addresses) {
        mMembers = List.copyOf(addresses);
    }

    /** Returns the addresses of all live entries. */
    public List<String> members() {
        return mMembers;
    }

    /** Passes an entry over for a while, because it did not answer. */
    public void avoid(String address) {
        mAvoided.put(address, mTime.nanoTime() + AVOIDANCE_NANOS);
    }

    /** Returns the address of the entry that schedules a group's pieces. */
    public Optional<String> coordinator(GroupId group) {
        long now = mTime.nanoTime();
        mAvoided.values().removeIf(until -> until <= now);
        Optional<String> best = Optional.empty();
        long least = Long.MAX_VALUE;
        for (String member : mMembers) {
            long weight = Hashing.komihash5_0().hashCharsToLong(group.value() + '/' + member);
            if (!mAvoided.containsKey(member) && weight < least) {
                least = weight;
                best = Optional.of(member);
            }
        }
        return best;
    }
}
