package org.boragethread.core.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The rate of calls that an upstream says it accepts from all processes together, as far as this
 * process has learned of it, and the calls that this process has sent since. Not thread-safe.
 */
public final class NamedRateLimit {

    private static final Duration BURST_WINDOW = Duration.ofSeconds(1);

    /** Calls within {@link #BURST_WINDOW}, as a multiple of those that the allowance averages. */
    private static final double BURST_FACTOR = 2;

    private final Deque<Long> mSentAt = new ArrayDeque<>();
    private OptionalDouble mPerSecond = OptionalDouble.empty();
    private long mLearnedAt = Long.MIN_VALUE;
    private long mCalledAt = Long.MIN_VALUE;

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
        return (lower || sentAt >= mLearnedAt) && learn(named, now);
    }

    /**
     * Applies what another process has learned.
     *
     * @return whether the limit changed
     */
    public boolean learn(OptionalDouble perSecond, long now) {
        if (perSecond.equals(mPerSecond)) {
            return false;
        }
        mPerSecond = perSecond;
        mLearnedAt = now;
        if (perSecond.isEmpty()) {
            mSentAt.clear();
        }
        return true;
    }

    /** Forgets the limit, because another run of the upstream has begun. */
    void clear() {
        mPerSecond = OptionalDouble.empty();
        mLearnedAt = Long.MIN_VALUE;
        mSentAt.clear();
    }

    /** Counts a call that is being sent. */
    void onSent(long now) {
        mCalledAt = now;
        if (mPerSecond.isPresent()) {
            mSentAt.add(now);
        }
    }

    /**
     * Returns whether the upstream names a limit and this process has neither learned of it nor
     * called the upstream since a monotonic time, so that it can't know whether the limit holds.
     */
    boolean isUnconfirmedSince(long nanos) {
        return mPerSecond.isPresent() && mLearnedAt <= nanos && mCalledAt <= nanos;
    }

    /**
     * Returns the monotonic time from which on an allowance permits one more call; empty if it
     * permits none at all.
     */
    Optional<Long> nextCallAt(CallAllowance allowance, long now) {
        if (allowance.calls() == 0) {
            return Optional.empty();
        }
        removeUntil(now - allowance.window().toNanos());
        double windows = allowance.window().toNanos() / (double) BURST_WINDOW.toNanos();
        int burst = (int) Math.ceil(BURST_FACTOR * allowance.calls() / windows);
        long inWindow = freeAt(allowance.calls(), allowance.window(), now);
        return Optional.of(Math.max(inWindow, freeAt(burst, BURST_WINDOW, now)));
    }

    private void removeUntil(long nanos) {
        while (!mSentAt.isEmpty() && mSentAt.peek() <= nanos) {
            mSentAt.poll();
        }
    }

    /** Returns when the last calls before the present one leave enough room in a window. */
    private long freeAt(int calls, Duration window, long now) {
        if (mSentAt.size() < calls) {
            return now;
        }
        Iterator<Long> latestFirst = mSentAt.descendingIterator();
        long sentAt = latestFirst.next();
        for (int i = 1; i < calls; i++) {
            sentAt = latestFirst.next();
        }
        return Math.max(now, sentAt + window.toNanos());
    }
}
