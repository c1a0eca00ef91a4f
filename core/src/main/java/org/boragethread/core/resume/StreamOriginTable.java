package org.boragethread.core.resume;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;

/** Remembers the origins of streams for a time, the latest ones first. Not thread-safe. */
public final class StreamOriginTable {

    /** Longer than streams last and callers take them up. */
    static final Duration LIFETIME = Duration.ofMinutes(10);

    /** About 4 MB. */
    static final int MAX_STREAMS = 32_768;

    private final TimeSource mTime;
    private final Map<StreamKey, Entry> mEntries = new LinkedHashMap<>();

    /** Creates an empty table. */
    public StreamOriginTable(TimeSource time) {
        mTime = time;
    }

    /** Adds what is known of a stream to what was known before, and remembers it anew. */
    public void put(StreamKey key, StreamOrigin origin) {
        Entry previous = mEntries.remove(key);
        StreamOrigin merged = previous == null ? origin : previous.origin().merge(origin);
        mEntries.put(key, new Entry(merged, mTime.nanoTime()));
        removeOldest();
    }

    private void removeOldest() {
        Iterator<Entry> oldest = mEntries.values().iterator();
        while (oldest.hasNext()) {
            boolean isExpired = mTime.since(oldest.next().at()).compareTo(LIFETIME) > 0;
            if (!isExpired && mEntries.size() <= MAX_STREAMS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns what is known of a stream. */
    public Optional<StreamOrigin> find(StreamKey key) {
        return Optional.ofNullable(mEntries.get(key))
                .filter(entry -> mTime.since(entry.at()).compareTo(LIFETIME) <= 0)
                .map(Entry::origin);
    }

    /** Returns the number of streams remembered. */
    public int size() {
        return mEntries.size();
    }

    /**
     * A remembered stream.
     *
     * @param at monotonic time in nanoseconds at which it was remembered last
     */
    private record Entry(StreamOrigin origin, long at) {}
}
