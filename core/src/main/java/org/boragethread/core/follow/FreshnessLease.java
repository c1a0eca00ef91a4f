package org.boragethread.core.follow;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;

/**
 * The right to act on what was read from the store. It lapses unless reads prove, again and again,
 * that nothing newer is missing. Not safe for use by several threads.
 */
public final class FreshnessLease {

    private final TimeSource mTime;
    private final Duration mLength;
    private Optional<Moment> mProvedAt = Optional.empty();

    /**
     * Makes a lease that is not held.
     *
     * @param length time from the sending of the last successful read until the lease lapses
     */
    public FreshnessLease(TimeSource time, Duration length) {
        mTime = time;
        mLength = length;
    }

    /** Renews the lease with a read that was sent at the given moment. */
    public void renew(Moment sentAt) {
        mProvedAt = Optional.of(sentAt);
    }

    /** Returns the age of the last proof, or empty if there is none. */
    public Optional<Duration> age() {
        return mProvedAt.map(moment -> moment.age(mTime));
    }

    /** Tells whether the lease is held. */
    public boolean isHeld() {
        return mProvedAt.isPresent() && mProvedAt.get().age(mTime).compareTo(mLength) < 0;
    }
}
