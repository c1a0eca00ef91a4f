package org.boragethread.core.follow;

import java.time.Duration;
import org.boragethread.core.time.TimeSource;

/**
 * A moment on both clocks. The monotonic clock stands still while a machine is suspended, and the
 * time of day may jump.
 *
 * @param nanos monotonic time, in nanoseconds
 * @param millis time of day, in milliseconds since the Unix epoch
 */
public record Moment(long nanos, long millis) {

    /** Returns the present moment. */
    public static Moment now(TimeSource time) {
        return new Moment(time.nanoTime(), time.millis());
    }

    /** Returns the greater of the times that both clocks say have passed since. */
    public Duration age(TimeSource time) {
        Duration steady = time.since(nanos);
        Duration daily = Duration.ofMillis(time.millis() - millis);
        return steady.compareTo(daily) > 0 ? steady : daily;
    }
}
