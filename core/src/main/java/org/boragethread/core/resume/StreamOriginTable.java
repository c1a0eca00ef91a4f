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

    /** An entry that can read the store finds out earlier whether an origin is final. */
    public static final Duration PROVISIONAL_TIME = Duration.ofSeconds(3);

    private final TimeSource mTime;
    private final Map<StreamKey, Entry> mEntries = new LinkedHashMap<>();

    /** Creates an empty table. */
    public StreamOriginTable(TimeSource time) {
        mTime = time;
    }

    /** Adds what is known of a stream to what was known before, and remembers it anew. */
    public void put(StreamKey key, StreamOrigin origin) {
        Optional<Entry> previous = Optional.ofNullable(mEntries.remove(key));
        StreamOrigin report = new StreamOrigin(origin.group(), origin.version());
        StreamOrigin merged = previous.map(entry -> entry.origin().merge(report)).orElse(report);
        int provisional = previous.map(Entry::provisionalReports).orElse(0);
        int remaining = origin.provisional() ? provisional + 1 : Math.max(0, provisional - 1);
        boolean isFinal = !origin.provisional() || previous.filter(Entry::hasFinal).isPresent();
        mEntries.put(key, new Entry(merged, remaining, isFinal, mTime.nanoTime()));
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
                .flatMap(this::originOf);
    }

    /**
     * A report that was not confirmed in time says nothing: its final one may have gone to other
     * owners only. Beside a final one it leaves the version uncertain.
     */
    private Optional<StreamOrigin> originOf(Entry entry) {
        StreamOrigin origin = entry.origin();
        if (entry.provisionalReports() == 0 || origin.version().isEmpty()) {
            return Optional.of(origin);
        }
        if (mTime.since(entry.at()).compareTo(PROVISIONAL_TIME) < 0) {
            return Optional.of(new StreamOrigin(origin.group(), origin.version(), true));
        }
        StreamOrigin uncertain = new StreamOrigin(origin.group(), Optional.empty());
        return entry.hasFinal() ? Optional.of(uncertain) : Optional.empty();
    }

    /** Returns the number of streams remembered. */
    public int size() {
        return mEntries.size();
    }

    /**
     * A remembered stream.
     *
     * @param provisionalReports reports that are not followed by a final one yet
     * @param hasFinal whether there was a final report
     * @param at monotonic time in nanoseconds at which it was remembered last
     */
    private record Entry(StreamOrigin origin, int provisionalReports, boolean hasFinal, long at) {}
}
