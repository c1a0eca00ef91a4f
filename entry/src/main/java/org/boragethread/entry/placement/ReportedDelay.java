package org.boragethread.entry.placement;

import java.time.Duration;

/** Decodes delays that a coordinator reports in messages. */
public final class ReportedDelay {

    /**
     * The longest delay that is read; longer ones are shortened to it. Queues change in seconds, so
     * that a longer delay is a fault of the report, and callers would stay away because of it.
     */
    public static final Duration MAX = Duration.ofMinutes(1);

    private ReportedDelay() {}

    /** Returns a delay from zero to {@link #MAX}. */
    public static Duration decode(long nanos) {
        return Duration.ofNanos(Math.max(0, Math.min(nanos, MAX.toNanos())));
    }
}
