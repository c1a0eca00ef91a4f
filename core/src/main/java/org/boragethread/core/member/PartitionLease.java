package org.boragethread.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.TimeSource;

/**
 * Divides limits that all processes of a group share, without calls for each use: every unit of a
 * limit belongs to a partition of the group, and only the process that leases the partition may use
 * it. The number of processes need not be known, and a process that is cut off, suspended or
 * replaced cannot use a unit together with its successor:
 *
 * <ul>
 *   <li>A process uses a partition for a fixed time after sending the last renewal that listed it.
 *   <li>A process to which a partition is newly assigned waits for that time, and for the time over
 *       which the limit counts uses, before it uses any of the partition's units.
 * </ul>
 *
 * Not thread-safe.
 */
public final class PartitionLease {

    private final TimeSource mTime;
    private final int mPartitions;
    private final Duration mLifetime;
    private final Map<Integer, ClockReading> mHeldSince = new HashMap<>();
    private Optional<ClockReading> mRenewedAt = Optional.empty();

    /**
     * Creates a lease without partitions.
     *
     * @param partitions number of partitions of the group
     * @param lifetime time from sending a renewal until the lease expires; the same in all
     *     processes
     */
    public PartitionLease(TimeSource time, int partitions, Duration lifetime) {
        mTime = time;
        mPartitions = partitions;
        mLifetime = lifetime;
    }

    /**
     * Renews the lease.
     *
     * @param sentAt time at which the renewal was sent
     * @param partitions all partitions that are now assigned to this process
     */
    public void renew(ClockReading sentAt, Set<Integer> partitions) {
        if (!isHeld()) {
            mHeldSince.clear();
        }
        ClockReading now = ClockReading.now(mTime);
        mHeldSince.keySet().retainAll(partitions);
        partitions.forEach(partition -> mHeldSince.putIfAbsent(partition, now));
        mRenewedAt = Optional.of(sentAt);
    }

    /** Returns the time from sending a renewal until the lease expires. */
    Duration lifetime() {
        return mLifetime;
    }

    /** Returns whether the lease is held now and expires before a monotonic time. */
    boolean expiresBefore(long nanos) {
        return isHeld() && mRenewedAt.get().nanos() + mLifetime.toNanos() - nanos < 0;
    }

    /** Gives up all partitions. */
    public void release() {
        mHeldSince.clear();
        mRenewedAt = Optional.empty();
    }

    /**
     * Returns how many units of a limit this process may use now.
     *
     * @param limit name of the limit; determines which partition each unit belongs to
     * @param total number of units that all processes may use together
     * @param window time over which the limit counts uses
     */
    public int units(String limit, int total, Duration window) {
        if (!isHeld()) {
            return 0;
        }
        long first =
                Math.floorMod(Hashing.komihash5_0().hashCharsToLong(limit), (long) mPartitions);
        long units = 0;
        for (int partition : mHeldSince.keySet()) {
            if (isUsable(partition, window)) {
                // Evenly spaced, because a process is often assigned adjacent partitions.
                long place = Math.floorMod(partition - first, mPartitions);
                units += firstUnit(place + 1, total) - firstUnit(place, total);
            }
        }
        return (int) units;
    }

    /** Returns the first unit that belongs to the partition at a place, or to one behind it. */
    private long firstUnit(long place, int total) {
        return -Math.floorDiv(-place * total, (long) mPartitions);
    }

    private boolean isHeld() {
        return mRenewedAt.isPresent() && mRenewedAt.get().age(mTime).compareTo(mLifetime) < 0;
    }

    private boolean isUsable(int partition, Duration window) {
        ClockReading since = mHeldSince.get(partition);
        // A jump of the wall clock must not shorten the wait, so only the monotonic clock counts.
        return since != null && mTime.since(since.nanos()).compareTo(mLifetime.plus(window)) >= 0;
    }
}
