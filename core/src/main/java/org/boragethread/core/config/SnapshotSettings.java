package org.boragethread.core.config;

import java.time.Duration;
import org.boragethread.model.Names;

/**
 * Settings of a {@link SnapshotWriter}.
 *
 * @param writer name of this process, unique among the entries
 * @param retention how long the log retains records
 * @param checkInterval interval at which the age of the newest snapshot is checked
 * @param maxJitter maximum random delay before a due snapshot is written
 * @param writeTimeout time limit for writing a snapshot
 */
public record SnapshotSettings(
        String writer,
        Duration retention,
        Duration checkInterval,
        Duration maxJitter,
        Duration writeTimeout) {

    private static final int DUE_DIVISOR = 4;

    public SnapshotSettings {
        Names.check("Writer", writer);
        Duration totalDelay = checkInterval.plus(maxJitter).plus(writeTimeout);
        if (retention.dividedBy(DUE_DIVISOR).plus(totalDelay).compareTo(retention.dividedBy(3))
                > 0) {
            throw new IllegalArgumentException(
                    "snapshots: the check interval, maximum jitter and write timeout add up to %s,"
                                    .formatted(totalDelay)
                            + " but may be at most a twelfth of the retention of "
                            + retention);
        }
    }

    /**
     * Returns settings whose delays are derived from the retention.
     *
     * @param writer name of this process, unique among the entries
     */
    public static SnapshotSettings of(String writer, Duration retention) {
        Duration delay = retention.dividedBy(36);
        return new SnapshotSettings(writer, retention, delay, delay, delay);
    }

    /** Returns the age of the newest snapshot at which the next one is due. */
    public Duration dueAge() {
        return retention.dividedBy(DUE_DIVISOR);
    }
}
