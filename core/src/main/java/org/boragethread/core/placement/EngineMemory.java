package org.boragethread.core.placement;

import org.boragethread.model.routing.EngineLimits;

/**
 * Memory of the engines that requests may use. If it is limited, a part is held back for what live
 * entries may have at engines without this coordinator knowing it. Not thread-safe.
 */
final class EngineMemory {

    private final EngineDirectory mDirectory;
    private final boolean mLimited;
    private int mUnreported;
    private int mEntries = 1;

    EngineMemory(EngineDirectory directory, boolean limited) {
        mDirectory = directory;
        mLimited = limited;
    }

    boolean isLimited() {
        return mLimited;
    }

    /** Sets how many of the live entries have not reported what they have at engines. */
    void setUnreported(int unreported, int entries) {
        mUnreported = unreported;
        mEntries = Math.max(entries, Math.max(1, unreported));
    }

    /** Returns whether nothing is placed, because no live entry has reported yet. */
    boolean isHeldBack() {
        return mLimited && mUnreported == mEntries;
    }

    /**
     * Returns the limits for new requests. An entry that does not report keeps the share that it
     * may use by itself. Requests do not wait for its report: an entry that ended stays listed for
     * seconds.
     */
    EngineLimits available() {
        EngineLimits limits = mDirectory.limits();
        if (!mLimited || mUnreported == 0) {
            return limits;
        }
        long held = mUnreported * (limits.cacheTokens() / mEntries + 1);
        return new EngineLimits(limits.slots(), Math.max(0, limits.cacheTokens() - held));
    }

    boolean isTooLarge(PlacementRequest request) {
        return mLimited && request.memoryTokens() > mDirectory.limits().cacheTokens();
    }

    /**
     * With limited memory, an unknown output may need all memory that the prompt leaves: engines
     * crash if their requests exceed it.
     */
    PlacementRequest withBoundedOutput(PlacementRequest request) {
        if (!mLimited) {
            return request;
        }
        long rest = mDirectory.limits().cacheTokens() - request.promptTokens();
        return request.withDefaultOutput(Math.max(0, rest));
    }
}
