package org.boragethread.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.boragethread.standins.platform.AppendRequest.NewRecord;

/** One named stream of the log. Safe for use by several threads. */
final class RecordStream {

    private final long mRetentionMs;
    private final int mRetentionRecords;
    private final NavigableMap<Long, StoredRecord> mRecords = new TreeMap<>();
    private List<CompletableFuture<Void>> mWaiting = new ArrayList<>();
    private long mNext;

    /**
     * Makes an empty stream.
     *
     * @param retentionMs time that a record is kept, in milliseconds
     * @param retentionRecords number of records that are kept
     */
    RecordStream(long retentionMs, int retentionRecords) {
        mRetentionMs = retentionMs;
        mRetentionRecords = retentionRecords;
    }

    /** Appends records and wakes waiting readers. */
    List<Long> append(List<NewRecord> records, long nowMs) {
        List<Long> offsets = new ArrayList<>();
        List<CompletableFuture<Void>> waiting;
        synchronized (this) {
            for (NewRecord fresh : records) {
                offsets.add(mNext);
                mRecords.put(mNext, new StoredRecord(mNext, nowMs, fresh.id(), fresh.data()));
                mNext++;
            }
            expire(nowMs);
            waiting = takeWaiting();
        }
        waiting.forEach(reader -> reader.complete(null));
        return offsets;
    }

    /** Reads records from an offset on. */
    synchronized ReadResult read(long from, int max, long nowMs) {
        expire(nowMs);
        long first = mRecords.isEmpty() ? mNext : mRecords.firstKey();
        if (from < first) {
            return new ReadResult(first, mNext, List.of(), true);
        }
        List<StoredRecord> records = mRecords.tailMap(from).values().stream().limit(max).toList();
        return new ReadResult(first, mNext, records, false);
    }

    /** Returns a future that ends at the next append, or at once if the offset exists already. */
    synchronized CompletableFuture<Void> awaitRecord(long from) {
        if (from < mNext) {
            return CompletableFuture.completedFuture(null);
        }
        mWaiting.removeIf(CompletableFuture::isDone);
        CompletableFuture<Void> reader = new CompletableFuture<>();
        mWaiting.add(reader);
        return reader;
    }

    /** Wakes all waiting readers without a record. */
    void wake() {
        List<CompletableFuture<Void>> waiting;
        synchronized (this) {
            waiting = takeWaiting();
        }
        waiting.forEach(reader -> reader.complete(null));
    }

    /** Expires all records below an offset. */
    synchronized void expireBefore(long offset) {
        mRecords.headMap(offset).clear();
    }

    private List<CompletableFuture<Void>> takeWaiting() {
        List<CompletableFuture<Void>> waiting = mWaiting;
        mWaiting = new ArrayList<>();
        return waiting;
    }

    private void expire(long nowMs) {
        while (!mRecords.isEmpty() && isExpired(mRecords.firstEntry().getValue(), nowMs)) {
            mRecords.pollFirstEntry();
        }
    }

    private boolean isExpired(StoredRecord oldest, long nowMs) {
        return mRecords.size() > mRetentionRecords || nowMs - oldest.timeMs() > mRetentionMs;
    }
}
