package org.boragethread.standins.upstream;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** The prefixes that an engine holds in its limited memory; the least recently used goes first. */
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

    /** Notes the use of a prompt's prefix; tells whether it was cached before. */
    synchronized boolean touch(byte[] prompt, int prefixBytes) {
        int length = Math.min(prompt.length, prefixBytes);
        int key = Arrays.hashCode(Arrays.copyOf(prompt, length));
        return mPrefixes.put(key, true) != null;
    }
}
