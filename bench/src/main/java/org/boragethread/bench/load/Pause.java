package org.boragethread.bench.load;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waits for a fraction of the duration of a run. */
final class Pause {

    private static final long POLL_NANOS = Duration.ofMillis(20).toNanos();

    private Pause() {}

    /** Waits until a fraction of the duration has passed. */
    static void until(long beginNanos, Duration duration, double fraction) {
        boolean before = true;
        while (before) {
            before = step(beginNanos, duration, fraction);
        }
    }

    /** Waits for one polling interval and returns whether the fraction has not passed yet. */
    static boolean step(long beginNanos, Duration duration, double fraction) {
        LockSupport.parkNanos(POLL_NANOS);
        return System.nanoTime() - beginNanos < duration.toNanos() * fraction;
    }
}
