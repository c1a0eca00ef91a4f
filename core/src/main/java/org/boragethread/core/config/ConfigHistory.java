package org.boragethread.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Configuration;

/**
 * The most recent records that changed the configuration, from which deltas are served. Bounded in
 * number of records and in bytes. Guarded by the lock of its store.
 */
final class ConfigHistory {

    private final int mMaxRecords;
    private final long mMaxBytes;
    private final Deque<LogRecord> mRecords = new ArrayDeque<>();
    private long mBytes;
    private long mBaseRevision = Configuration.NO_REVISION;

    ConfigHistory(int maxRecords, long maxBytes) {
        mMaxRecords = maxRecords;
        mMaxBytes = maxBytes;
    }

    /** Drops all records; later records follow the given revision. */
    void reset(long after) {
        mRecords.clear();
        mBytes = 0;
        mBaseRevision = after;
    }

    void add(LogRecord record) {
        mRecords.add(record);
        mBytes += record.data().length;
        while (mRecords.size() > mMaxRecords || mBytes > mMaxBytes) {
            LogRecord oldest = mRecords.poll();
            mBytes -= oldest.data().length;
            mBaseRevision = oldest.offset();
        }
    }

    /**
     * Returns the delta after a revision, truncated to about {@code maxBytes}, or empty if its
     * records are no longer held.
     */
    Optional<ConfigDelta> delta(long after, long revision, int maxBytes) {
        if (after < mBaseRevision || after > revision) {
            return Optional.empty();
        }
        List<LogRecord> records = new ArrayList<>();
        int bytes = 0;
        for (LogRecord record : mRecords) {
            if (record.offset() <= after) {
                continue;
            }
            bytes += record.data().length;
            if (bytes > maxBytes && !records.isEmpty()) {
                long last = records.get(records.size() - 1).offset();
                return Optional.of(new ConfigDelta(after, records, last));
            }
            records.add(record);
        }
        return Optional.of(new ConfigDelta(after, records, revision));
    }
}
