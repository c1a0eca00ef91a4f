package org.boragethread.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Prompt prefixes that are probably in an engine's cache. Not thread-safe. */
final class PrefixCache {

    /** Tokens of each prefix, the least recently used first. */
    private final Map<Long, Long> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);

    private long mTokens;

    /**
     * Adds or renews a prefix, and removes the least recently used ones that no longer fit.
     *
     * @param capacity tokens that prefixes may occupy
     * @return whether the prefix was not cached before
     */
    boolean use(long prefix, long tokens, long capacity) {
        Long previous = mPrefixes.put(prefix, tokens);
        mTokens += tokens - (previous == null ? 0 : previous);
        Iterator<Long> eldest = mPrefixes.values().iterator();
        while (mTokens > capacity && mPrefixes.size() > 1) {
            mTokens -= eldest.next();
            eldest.remove();
        }
        return previous == null;
    }

    boolean contains(long prefix) {
        return mPrefixes.containsKey(prefix);
    }

    void remove(long prefix) {
        Long tokens = mPrefixes.remove(prefix);
        mTokens -= tokens == null ? 0 : tokens;
    }
}
