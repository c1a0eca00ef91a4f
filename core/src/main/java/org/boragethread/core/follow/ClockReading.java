package org.boragethread.core.follow;

import java.time.Duration;
import org.boragethread.core.time.TimeSource;

/**
 * A point in time on both the monotonic and the wall clock. Neither is reliable alone: the
 * monotonic clock stops while a machine is suspended, and the wall clock may jump.
 *
 * @param nanos monotonic time, in nanoseconds
 * @param millis wall-clock time, in milliseconds since the Unix epoch
 */
public record ClockReading(long nanos, long millis) {

    /** Returns the current time. */
    public static ClockReading now(TimeSource time) {
        return new ClockReading(time.nanoTime(), time.millis());
    }

    /** Returns the reading a while earlier. */
    public ClockReading minus(Duration duration) {
        return new ClockReading(nanos - duration.toNanos(), millis - duration.toMillis());
    }

    /** Returns the time elapsed since, according to the clock on which more time has passed. */
    public Duration age(TimeSource time) {
        Duration monotonic = time.since(nanos);
        Duration wallClock = Duration.ofMillis(time.millis() - millis);
        return monotonic.compareTo(wallClock) > 0 ? monotonic : wallClock;
    }
}
