package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link StreamFollower}.
 *
 * @param maxRecords maximum number of records per read
 * @param maxWait how long the log may hold a read (long poll) until a record is available
 * @param minPause minimum interval between reads that return no records
 * @param minBackoff delay after the first failure
 * @param maxBackoff upper bound of the delay after repeated failures
 */
public record FollowerSettings(
        int maxRecords,
        Duration maxWait,
        Duration minPause,
        Duration minBackoff,
        Duration maxBackoff) {

    /** Default settings; long polls deliver a new record within one round trip. */
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
