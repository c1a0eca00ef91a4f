package org.boragethread.core.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Memory of one upstream that results occupy or will occupy. A result that nobody frees ends by
 * itself. Not safe for use by several threads.
 */
public final class ResultLedger {

    private final Map<String, Held> mHeld = new HashMap<>();
    private long mHeldBytes;
    private long mPlannedBytes;
    private long mUnknownBytes;
    private long mUnknownUntil = Long.MIN_VALUE;

    /** Counts results that are being made. */
    public void plan(long bytes) {
        mPlannedBytes += bytes;
    }

    /** Results that were being made are no longer; those that were made are held now. */
    public void unplan(long bytes) {
        mPlannedBytes -= bytes;
    }

    /** Counts a result until it is released or its time is over. */
    public void hold(String handle, long bytes, long untilNanos) {
        Held before = mHeld.put(handle, new Held(bytes, untilNanos));
        mHeldBytes += bytes - (before == null ? 0 : before.bytes());
    }

    /** Forgets results that have been freed. */
    public void release(Collection<String> handles) {
        for (String handle : handles) {
            Held held = mHeld.remove(handle);
            if (held != null) {
                mHeldBytes -= held.bytes();
            }
        }
    }

    /**
     * The upstream had no room, so results that are not counted here occupy what seemed to be free.
     *
     * @param capacity memory of the upstream, in bytes
     * @param untilNanos monotonic time from which this is no longer assumed
     */
    public void assumeFull(long capacity, long now, long untilNanos) {
        mUnknownBytes = Math.max(0, capacity - known(now));
        mUnknownUntil = untilNanos;
    }

    /** Returns the size of all results, in bytes. */
    public long bytes(long now) {
        return known(now) + (now < mUnknownUntil ? mUnknownBytes : 0);
    }

    private long known(long now) {
        mHeld.values().removeIf(held -> isOver(held, now));
        return mHeldBytes + mPlannedBytes;
    }

    private boolean isOver(Held held, long now) {
        if (now < held.untilNanos()) {
            return false;
        }
        mHeldBytes -= held.bytes();
        return true;
    }

    private record Held(long bytes, long untilNanos) {}
}
