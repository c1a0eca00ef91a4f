package org.boragethread.core.upstream;

import java.util.OptionalDouble;

/**
 * The rate of calls that an upstream says it accepts from all processes together, as far as this
 * process has learned of it. Not thread-safe.
 */
public final class NamedRateLimit {

    private OptionalDouble mPerSecond = OptionalDouble.empty();
    private long mLearnedAt = Long.MIN_VALUE;

    /** Returns the calls per second; empty if the upstream names no limit. */
    public OptionalDouble perSecond() {
        return mPerSecond;
    }

    /**
     * Applies what a response says. A call that was sent before the present limit was learned may
     * have been answered before the limit was named, so its response can only lower the limit.
     *
     * @param named limit in the response; empty if it names none
     * @param sentAt monotonic time at which the call was sent
     * @param now present monotonic time
     * @return whether the limit changed
     */
    public boolean observe(OptionalDouble named, long sentAt, long now) {
        boolean lower =
                named.isPresent()
                        && (mPerSecond.isEmpty() || named.getAsDouble() < mPerSecond.getAsDouble());
        return (lower || sentAt >= mLearnedAt) && set(named, now);
    }

    private boolean set(OptionalDouble perSecond, long now) {
        if (perSecond.equals(mPerSecond)) {
            return false;
        }
        mPerSecond = perSecond;
        mLearnedAt = now;
        return true;
    }

    /** Forgets the limit, because another run of the upstream has begun. */
    void clear() {
        mPerSecond = OptionalDouble.empty();
        mLearnedAt = Long.MIN_VALUE;
    }
}
