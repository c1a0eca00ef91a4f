package org.boragethread.core.config;

import java.time.Duration;
import org.boragethread.model.Names;

/**
 * Settings of a {@link SnapshotWriter}.
 *
 * @param writer name of this process, unique among the entries
 * @param retention how long the log keeps records
 * @param checkEvery time between looks at the age of the newest snapshot
 * @param maxJitter greatest random delay before a due snapshot is written
 * @param writeTimeout how long to try to write one
 */
public record SnapshotSettings(
        String writer,
        Duration retention,
        Duration checkEvery,
        Duration maxJitter,
        Duration writeTimeout) {

    private static final int DUE_DIVISOR = 4;

    public SnapshotSettings {
        Names.check("Writer", writer);
        Duration latest = checkEvery.plus(maxJitter).plus(writeTimeout);
        if (retention.dividedBy(DUE_DIVISOR).plus(latest).compareTo(retention.dividedBy(3)) > 0) {
            throw new IllegalArgumentException(
                    "snapshots: checkEvery, maxJitter and writeTimeout together take %s, which must"
                                    .formatted(latest)
                            + " be at most a twelfth of the retention "
                            + retention);
        }
    }

    /**
     * Returns settings with delays that fit a retention.
     *
     * @param writer name of this process, unique among the entries
     */
    public static SnapshotSettings of(String writer, Duration retention) {
        Duration step = retention.dividedBy(36);
        return new SnapshotSettings(writer, retention, step, step, step);
    }

    /** Returns the age at which a snapshot is due for replacement. */
    public Duration dueAge() {
        return retention.dividedBy(DUE_DIVISOR);
    }
}
