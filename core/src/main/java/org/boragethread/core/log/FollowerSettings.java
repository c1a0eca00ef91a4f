package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link StreamFollower}.
 *
 * @param maxRecords greatest number of records in one read
 * @param maxWait how long the log may hold a read that has no record to answer
 * @param minPause least time between reads that find no record
 * @param minBackoff delay after a first failure
 * @param maxBackoff greatest delay after many failures
 */
public record FollowerSettings(
        int maxRecords,
        Duration maxWait,
        Duration minPause,
        Duration minBackoff,
        Duration maxBackoff) {

    /** Settings that find a new record within a round trip. */
    public static final FollowerSettings DEFAULT =
            new FollowerSettings(
                    500,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(20),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(2));

    public FollowerSettings {
        Objects.requireNonNull(maxWait, "maxWait");
        Objects.requireNonNull(minPause, "minPause");
        Objects.requireNonNull(minBackoff, "minBackoff");
        Objects.requireNonNull(maxBackoff, "maxBackoff");
    }
}
