package org.boragethread.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.boragethread.standins.platform.AppendRequest.NewRecord;

/** One named stream of the log. Thread-safe. */
final class RecordStream {

    private final long mRetentionMs;
    private final int mRetentionRecords;
    private final NavigableMap<Long, StoredRecord> mRecords = new TreeMap<>();
    private List<CompletableFuture<Void>> mWaitingReaders = new ArrayList<>();
    private long mNextOffset;

    /**
     * Creates an empty stream.
     *
     * @param retentionMs retention time of records, in milliseconds
     * @param retentionRecords maximum number of records that are retained
     */
    RecordStream(long retentionMs, int retentionRecords) {
        mRetentionMs = retentionMs;
        mRetentionRecords = retentionRecords;
    }

    /** Appends records, wakes waiting readers and returns the offsets of the records. */
    List<Long> append(List<NewRecord> records, long nowMs) {
        List<Long> offsets = new ArrayList<>();
        List<CompletableFuture<Void>> readers;
        synchronized (this) {
            for (NewRecord newRecord : records) {
                offsets.add(mNextOffset);
                mRecords.put(
                        mNextOffset,
                        new StoredRecord(mNextOffset, nowMs, newRecord.id(), newRecord.data()));
                mNextOffset++;
            }
            dropExpired(nowMs);
            readers = takeWaitingReaders();
        }
        readers.forEach(reader -> reader.complete(null));
        return offsets;
    }

    /** Reads up to {@code max} records from an offset on. */
    synchronized ReadResult read(long from, int max, long nowMs) {
        dropExpired(nowMs);
        long first = mRecords.isEmpty() ? mNextOffset : mRecords.firstKey();
        if (from < first) {
            return new ReadResult(first, mNextOffset, List.of(), true);
        }
        List<StoredRecord> records = mRecords.tailMap(from).values().stream().limit(max).toList();
        return new ReadResult(first, mNextOffset, records, false);
    }

    /** Returns a future that completes at the next append, or at once if the offset exists. */
    synchronized CompletableFuture<Void> awaitRecord(long from) {
        if (from < mNextOffset) {
            return CompletableFuture.completedFuture(null);
        }
        mWaitingReaders.removeIf(CompletableFuture::isDone);
        CompletableFuture<Void> reader = new CompletableFuture<>();
        mWaitingReaders.add(reader);
        return reader;
    }

    /** Wakes all waiting readers although nothing was appended. */
    void wakeReaders() {
        List<CompletableFuture<Void>> readers;
        synchronized (this) {
            readers = takeWaitingReaders();
        }
        readers.forEach(reader -> reader.complete(null));
    }

    /** Drops all records below an offset. */
    synchronized void expireBefore(long offset) {
        mRecords.headMap(offset).clear();
    }

    private List<CompletableFuture<Void>> takeWaitingReaders() {
        List<CompletableFuture<Void>> readers = mWaitingReaders;
        mWaitingReaders = new ArrayList<>();
        return readers;
    }

    private void dropExpired(long nowMs) {
        while (!mRecords.isEmpty() && isExpired(mRecords.firstEntry().getValue(), nowMs)) {
            mRecords.pollFirstEntry();
        }
    }

    private boolean isExpired(StoredRecord oldest, long nowMs) {
        return mRecords.size() > mRetentionRecords || nowMs - oldest.timeMs() > mRetentionMs;
    }
}
