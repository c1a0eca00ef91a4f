package org.boragethread.bench.load;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waits for points of a run. */
final class Pause {

    private static final long STEP_NANOS = Duration.ofMillis(20).toNanos();

    private Pause() {}

    /** Waits until a share of the run has passed. */
    static void until(long beginNanos, Duration duration, double share) {
        boolean before = true;
        while (before) {
            before = step(beginNanos, duration, share);
        }
    }

    /** Waits a short time; tells whether a share of the run has not passed yet. */
    static boolean step(long beginNanos, Duration duration, double share) {
        LockSupport.parkNanos(STEP_NANOS);
        return System.nanoTime() - beginNanos < duration.toNanos() * share;
    }
}
