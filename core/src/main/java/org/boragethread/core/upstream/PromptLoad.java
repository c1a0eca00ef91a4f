package org.boragethread.core.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prompts that an engine has still to read for this process, and beginnings of prompts that it has
 * read. Not safe for use by several threads.
 */
public final class PromptLoad {

    /** Beginnings that are remembered: an engine's memory holds about as many large ones. */
    private static final int MAX_BEGINNINGS = 24;

    private final Map<Long, Boolean> mBeginnings =
            new LinkedHashMap<>(MAX_BEGINNINGS, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_BEGINNINGS;
                }
            };
    private double mUnreadMillis;

    /** Adds a prompt that is being sent and takes the given time to read. */
    public void begin(long affinity, double millis) {
        mUnreadMillis += millis;
        if (affinity != 0) {
            mBeginnings.put(affinity, true);
        }
    }

    /** A prompt was read, or its call has ended. */
    public void end(double millis) {
        mUnreadMillis = Math.max(0, mUnreadMillis - millis);
    }

    /** Returns the time to read all prompts that were sent and not read yet, in milliseconds. */
    public double unreadMillis() {
        return mUnreadMillis;
    }

    /** Tells whether a beginning was sent here not long ago. */
    public boolean knows(long affinity) {
        return mBeginnings.containsKey(affinity);
    }

    /** A new incarnation of the engine knows nothing. */
    void forget() {
        mBeginnings.clear();
    }
}
