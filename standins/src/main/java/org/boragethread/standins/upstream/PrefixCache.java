package org.boragethread.standins.upstream;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** LRU cache of the prompt prefixes that an engine keeps in its limited memory. */
final class PrefixCache {

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Integer, Boolean> mPrefixes;

    PrefixCache(int slots) {
        mPrefixes =
                new LinkedHashMap<>(slots, LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
                        return size() > slots;
                    }
                };
    }

    /** Records the use of a prompt's prefix and returns whether it was cached before. */
    synchronized boolean touch(byte[] prompt, int prefixBytes) {
        int length = Math.min(prompt.length, prefixBytes);
        int key = Arrays.hashCode(Arrays.copyOf(prompt, length));
        return mPrefixes.put(key, true) != null;
    }
}
