package org.boragethread.core.time;

import java.time.Duration;
import java.time.InstantSource;

/** A source of wall-clock and monotonic time. */
public interface TimeSource extends InstantSource {

    /** Returns monotonic time in nanoseconds from an arbitrary origin. */
    long nanoTime();

    /** Returns the monotonic time elapsed since an earlier value of {@link #nanoTime()}. */
    default Duration since(long nanoTime) {
        return Duration.ofNanos(nanoTime() - nanoTime);
    }
}
