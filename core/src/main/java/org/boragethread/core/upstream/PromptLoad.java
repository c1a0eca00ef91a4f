package org.boragethread.core.upstream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prompts of this process that an engine has yet to process (prefill), and the prompt prefixes that
 * are probably in its cache. Not thread-safe.
 */
public final class PromptLoad {

    /**
     * Share of an engine's memory that is assumed to hold prefixes; the rest holds the prompts and
     * tokens of running requests.
     */
    private static final double CACHE_SHARE = 0.7;

    /** Tokens of each prefix, the least recently sent first. */
    private final Map<Long, Long> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);

    private long mPrefixTokens;
    private double mPendingMillis;

    /**
     * Adds a prompt that is being sent.
     *
     * @param affinity hash of its prefix; 0 if it shares none
     * @param prefixTokens length of the prefix in tokens
     * @param cacheTokens memory of the engine for running requests and cached prefixes, in tokens
     * @param millis time that the engine needs to process the prompt
     */
    public void onPromptSent(long affinity, long prefixTokens, long cacheTokens, double millis) {
        mPendingMillis += millis;
        if (affinity == 0) {
            return;
        }
        Long previous = mPrefixes.put(affinity, prefixTokens);
        mPrefixTokens += prefixTokens - (previous == null ? 0 : previous);
        Iterator<Long> eldest = mPrefixes.values().iterator();
        while (mPrefixTokens > CACHE_SHARE * cacheTokens && mPrefixes.size() > 1) {
            mPrefixTokens -= eldest.next();
            eldest.remove();
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
        mPrefixTokens = 0;
    }
}
