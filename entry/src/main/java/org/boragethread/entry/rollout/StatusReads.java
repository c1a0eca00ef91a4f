package org.boragethread.entry.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import org.boragethread.core.rollout.RolloutBounds;

/**
 * When this entry reads the states of roll-outs. All entries learn of an order, and of each state,
 * at the same moment; they would go on to read together if they had the same times.
 *
 * @param startDelay time from an order to the first read
 * @param pollTime long-poll time of each read
 */
record StatusReads(Duration startDelay, Duration pollTime) {

    /** Part of the long-poll time by which that of entries differs. */
    private static final double POLL_SPREAD = 0.25;

    /** Returns the times of the entry with an address. */
    static StatusReads of(String address, RolloutBounds bounds) {
        long hash = Hashing.komihash5_0().hashCharsToLong(address);
        double place = (double) (hash >>> 1) / Long.MAX_VALUE;
        Duration longest = bounds.statusPollTime();
        return new StatusReads(scaled(longest, place), scaled(longest, 1 - POLL_SPREAD * place));
    }

    private static Duration scaled(Duration time, double factor) {
        return Duration.ofNanos((long) (time.toNanos() * factor));
    }
}
