package org.boragethread.core.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prompts of this process that an engine has yet to process (prefill), and the prompt prefixes that
 * are probably in its cache. Not thread-safe.
 */
public final class PromptLoad {

    /** Number of prefixes assumed to be cached, about as many large ones as an engine can hold. */
    private static final int MAX_PREFIXES = 24;

    private final Map<Long, Boolean> mPrefixes =
            new LinkedHashMap<>(MAX_PREFIXES, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_PREFIXES;
                }
            };
    private double mPendingMillis;

    /**
     * Adds a prompt that is being sent.
     *
     * @param affinity hash of its prefix; 0 if it shares none
     * @param millis time that the engine needs to process it
     */
    public void onPromptSent(long affinity, double millis) {
        mPendingMillis += millis;
        if (affinity != 0) {
            mPrefixes.put(affinity, true);
        }
    }

    /** Removes a prompt that was processed, or whose call has ended. */
    public void onPromptDone(double millis) {
        mPendingMillis = Math.max(0, mPendingMillis - millis);
    }

    /** Returns the time to process all prompts that are still pending, in milliseconds. */
    public double pendingMillis() {
        return mPendingMillis;
    }

    /** Returns whether a prefix was recently sent to the engine, so that it is probably cached. */
    public boolean isPrefixCached(long affinity) {
        return mPrefixes.containsKey(affinity);
    }

    /** Removes all prefixes, because a new incarnation of the engine starts with an empty cache. */
    void clearPrefixes() {
        mPrefixes.clear();
    }
}
