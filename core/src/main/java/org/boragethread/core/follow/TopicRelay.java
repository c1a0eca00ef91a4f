package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.callback.Callbacks;
import org.boragethread.core.time.TimeSource;

/**
 * Passes on to other processes the records of a compacted topic that this process reads from the
 * store, so that not every process has to read them there. Serves only while this process itself
 * reads from the store. Not thread-safe.
 */
public final class TopicRelay {

    /** Number of removed keys that are remembered for processes that have not heard of them. */
    private static final int MAX_REMOVED_KEYS = 4096;

    private final TimeSource mTime;
    private final RecordFilter mFilter;
    private final Map<String, KeyedRecord> mRecords = new HashMap<>();
    private final Set<Waiter> mWaiters = new LinkedHashSet<>();
    private Optional<ClockReading> mUpToDateAt = Optional.empty();
    private StoreEra mEra = StoreEra.UNKNOWN;
    private long mStartOffset;
    private long mNextOffset;
    private long mUpdate;
    private int mRemovedKeys;

    /** Decides which records need not be passed on. */
    @FunctionalInterface
    public interface RecordFilter {

        /** Returns whether a value means the same as the one before it. */
        boolean isUnchanged(String key, byte[] previous, byte[] value);
    }

    /** A read that waits for the next update. */
    public interface PendingRead {

        /** Ends the read without a response. */
        void cancel();
    }

    /**
     * What a relay passes on after one of its reads.
     *
     * @param update number of the read; differs from that of the reads before
     * @param page all records from the requested offset on
     */
    public record Update(long update, RecordPage page) {}

    /** Creates a relay without records. */
    public TopicRelay(TimeSource time, RecordFilter filter) {
        mTime = time;
        mFilter = filter;
    }

    /**
     * Starts anew after a snapshot of the topic. Its values are not kept to tell unchanged records:
     * the snapshot may contain changes from after its offset, which a reader from that offset on
     * still needs.
     *
     * @param offset offset from which on all records follow
     * @param era era of the store to which the offset belongs
     */
    void onSnapshot(long offset, StoreEra era) {
        stop();
        mEra = era;
        mRecords.clear();
        mRemovedKeys = 0;
        mStartOffset = offset;
        mNextOffset = offset;
    }

    /** Adds records that were read from the store, the first at the given offset. */
    void onRecords(long offset, List<KeyedRecord> records) {
        if (offset != mNextOffset) {
            // Others passed on what is missing, without the records that were replaced meanwhile.
            onSnapshot(offset, mEra);
        }
        for (KeyedRecord record : records) {
            if (!record.key().isEmpty()) {
                add(record.key(), record.value());
            }
            mNextOffset++;
        }
        if (mRemovedKeys > MAX_REMOVED_KEYS) {
            mRecords.values().removeIf(record -> record.value().isEmpty());
            mRemovedKeys = 0;
            mStartOffset = mNextOffset;
        }
    }

    private void add(String key, Optional<byte[]> value) {
        KeyedRecord previous = mRecords.get(key);
        boolean unchanged =
                previous != null
                        && previous.value().isPresent()
                        && value.isPresent()
                        && mFilter.isUnchanged(key, previous.value().get(), value.get());
        if (unchanged) {
            return;
        }
        mRecords.put(key, new KeyedRecord(mNextOffset, key, value));
        mRemovedKeys += value.isEmpty() ? 1 : 0;
    }

    /** Responds to all waiting reads, because the records are complete as of the given time. */
    void onUpToDate(long nextOffset, ClockReading asOf) {
        if (nextOffset != mNextOffset) {
            onSnapshot(nextOffset, mEra);
        }
        mUpToDateAt = Optional.of(asOf);
        mUpdate++;
        Callbacks.forEach(takeWaiters(), Waiter::respond);
    }

    /** Refuses all reads until the topic was read from the store again. */
    void stop() {
        if (mUpToDateAt.isEmpty()) {
            return;
        }
        mUpToDateAt = Optional.empty();
        Callbacks.forEach(takeWaiters(), waiter -> waiter.mCallback.accept(refuse()));
    }

    private List<Waiter> takeWaiters() {
        List<Waiter> waiters = new ArrayList<>(mWaiters);
        mWaiters.clear();
        return waiters;
    }

    /**
     * Reads the records from an offset on, as soon as there is an update that the reader has not
     * seen.
     *
     * @param era era of the store to which the offset belongs
     * @param seenUpdate number of the update that the reader received last
     * @param callback called once, unless the read is cancelled
     */
    public PendingRead read(
            long offset,
            StoreEra era,
            long seenUpdate,
            Consumer<Either<ReadFailure, Update>> callback) {
        if (mUpToDateAt.isEmpty() || offset < mStartOffset || !era.equals(mEra)) {
            callback.accept(refuse());
            return () -> {};
        }
        // A reader that came from the store may be ahead of the last read of this process.
        if (mUpdate != seenUpdate && offset <= mNextOffset) {
            callback.accept(respond(offset, mTime.nanoTime()));
            return () -> {};
        }
        Waiter waiter = new Waiter(offset, mTime.nanoTime(), callback);
        mWaiters.add(waiter);
        return () -> mWaiters.remove(waiter);
    }

    private Either<ReadFailure, Update> respond(long offset, long arrivedAt) {
        if (mUpToDateAt.isEmpty() || offset < mStartOffset || offset > mNextOffset) {
            return refuse();
        }
        List<KeyedRecord> records = new ArrayList<>();
        for (KeyedRecord record : mRecords.values()) {
            if (record.offset() >= offset) {
                records.add(record);
            }
        }
        records.sort((a, b) -> Long.compare(a.offset(), b.offset()));
        // Of the time that the request waited, only what the monotonic clock counts is certain.
        Duration age = mUpToDateAt.get().age(mTime).minus(mTime.since(arrivedAt));
        RecordPage page = new RecordPage(mNextOffset, mNextOffset, records, Optional.of(age), mEra);
        return Either.right(new Update(mUpdate, page));
    }

    private static Either<ReadFailure, Update> refuse() {
        return Either.left(
                ReadFailure.unreachable("the relay does not have these records from the store"));
    }

    /** A waiting read. Compared by identity, as two reads may be equal. */
    private final class Waiter {

        private final long mOffset;
        private final long mArrivedAt;
        private final Consumer<Either<ReadFailure, Update>> mCallback;

        Waiter(long offset, long arrivedAt, Consumer<Either<ReadFailure, Update>> callback) {
            mOffset = offset;
            mArrivedAt = arrivedAt;
            mCallback = callback;
        }

        void respond() {
            mCallback.accept(TopicRelay.this.respond(mOffset, mArrivedAt));
        }
    }
}
