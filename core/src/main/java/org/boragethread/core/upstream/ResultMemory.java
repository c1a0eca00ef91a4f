package org.boragethread.core.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the memory of one upstream that results occupy or will occupy. Results that are not freed
 * expire. Not thread-safe.
 */
public final class ResultMemory {

    private final Map<String, StoredResult> mResults = new HashMap<>();
    private long mStoredBytes;
    private long mReservedBytes;
    private long mUntrackedBytes;
    private long mUntrackedUntil = Long.MIN_VALUE;

    /** Reserves memory for results of a call that is being sent. */
    public void reserve(long bytes) {
        mReservedBytes += bytes;
    }

    /** Releases a reservation after the call. Its results are added separately. */
    public void unreserve(long bytes) {
        mReservedBytes -= bytes;
    }

    /** Adds a result, or replaces the one with the same handle. */
    public void add(String handle, long bytes, long expiresAtNanos) {
        StoredResult previous = mResults.put(handle, new StoredResult(bytes, expiresAtNanos));
        mStoredBytes += bytes - (previous == null ? 0 : previous.bytes());
    }

    /** Removes results that were freed. */
    public void remove(Collection<String> handles) {
        for (String handle : handles) {
            StoredResult result = mResults.remove(handle);
            if (result != null) {
                mStoredBytes -= result.bytes();
            }
        }
    }

    /**
     * Counts all memory that seemed to be free as used by untracked results, because the upstream
     * reported that its memory is full.
     *
     * @param capacity memory of the upstream, in bytes
     * @param untilNanos monotonic time at which the assumption ends
     */
    public void assumeFull(long capacity, long now, long untilNanos) {
        mUntrackedBytes = Math.max(0, capacity - trackedBytes(now));
        mUntrackedUntil = untilNanos;
    }

    /** Returns the memory in use or reserved, in bytes. */
    public long usedBytes(long now) {
        return trackedBytes(now) + (now < mUntrackedUntil ? mUntrackedBytes : 0);
    }

    private long trackedBytes(long now) {
        mResults.values().removeIf(result -> subtractIfExpired(result, now));
        return mStoredBytes + mReservedBytes;
    }

    private boolean subtractIfExpired(StoredResult result, long now) {
        if (now < result.expiresAtNanos()) {
            return false;
        }
        mStoredBytes -= result.bytes();
        return true;
    }

    private record StoredResult(long bytes, long expiresAtNanos) {}
}
