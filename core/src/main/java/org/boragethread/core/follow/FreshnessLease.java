package org.boragethread.core.follow;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;

/**
 * Permission to act on data read from the store. It expires unless it is regularly renewed by reads
 * that confirm the data is complete. Not thread-safe.
 */
public final class FreshnessLease {

    private final TimeSource mTime;
    private final Duration mLength;
    private Optional<ClockReading> mConfirmedAt = Optional.empty();

    /**
     * Creates a lease that is not held.
     *
     * @param length time from sending the last successful read until the lease expires
     */
    public FreshnessLease(TimeSource time, Duration length) {
        mTime = time;
        mLength = length;
    }

    /** Renews the lease after a successful read that was sent at the given time. */
    public void renew(ClockReading sentAt) {
        mConfirmedAt = Optional.of(sentAt);
    }

    /** Returns the time since the last renewal, or empty if there was none. */
    public Optional<Duration> age() {
        return mConfirmedAt.map(sentAt -> sentAt.age(mTime));
    }

    public boolean isHeld() {
        return mConfirmedAt.isPresent() && mConfirmedAt.get().age(mTime).compareTo(mLength) < 0;
    }
}
