package org.boragethread.standins.harness;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions of other processes, within a bound. */
public final class Await {

    private static final long POLL_NANOS = Duration.ofMillis(5).toNanos();

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param what what is awaited, for the message
     * @throws IllegalStateException if the time passes first
     */
    public static void until(String what, Duration timeout, BooleanSupplier condition) {
        long end = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() >= end) {
                throw new IllegalStateException("not within %s: %s".formatted(timeout, what));
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
