package org.boragethread.bench.load;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waits for a fraction of the duration of a run. */
final class RunTimer {

    private static final long POLL_NANOS = Duration.ofMillis(20).toNanos();

    private RunTimer() {}

    /** Waits until a fraction of the duration has passed. */
    static void awaitFraction(long beginNanos, Duration duration, double fraction) {
        boolean before = true;
        while (before) {
            before = awaitPoll(beginNanos, duration, fraction);
        }
    }

    /** Waits for one polling interval and returns whether the fraction has not passed yet. */
    static boolean awaitPoll(long beginNanos, Duration duration, double fraction) {
        LockSupport.parkNanos(POLL_NANOS);
        return System.nanoTime() - beginNanos < duration.toNanos() * fraction;
    }
}
