package org.boragethread.core.log;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.Scheduler;

/**
 * Writes records to one stream in batches. An append without a response is retried with the same
 * record ids. A write completes when the follower of the stream passes its record to {@link
 * #readBack}. Records of different batches may be reordered.
 */
public final class BatchingAppender implements RecordWriter {

    private static final Logger LOGGER = LogManager.getLogger(BatchingAppender.class);

    private final PlatformLog mLog;
    private final String mStream;
    private final Scheduler mScheduler;
    private final AppendRateLimiter mRateLimiter;
    private final AppenderSettings mSettings;
    private final Object mLock = new Object();
    private final Map<String, PendingWrite> mPending = new HashMap<>();
    private final Deque<PendingWrite> mQueue = new ArrayDeque<>();
    private final Backoff mBackoff;
    private int mInFlight;
    private boolean mFlushScheduled;
    private boolean mBackingOff;

    /**
     * Creates an appender.
     *
     * @param rateLimiter limits the append rate; shared by all appenders of the process
     * @param seed seed of the backoff jitter
     */
    public BatchingAppender(
            PlatformLog log,
            String stream,
            Scheduler scheduler,
            AppendRateLimiter rateLimiter,
            AppenderSettings settings,
            long seed) {
        mLog = Objects.requireNonNull(log, "log");
        mStream = Objects.requireNonNull(stream, "stream");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mRateLimiter = Objects.requireNonNull(rateLimiter, "rateLimiter");
        mSettings = Objects.requireNonNull(settings, "settings");
        mBackoff = new Backoff(settings.minBackoff(), settings.maxBackoff(), seed);
    }

    @Override
    public CompletableFuture<Either<WriteError, Long>> write(LogEntry entry, Duration timeout) {
        if (entry.data().length > PlatformLog.MAX_RECORD_BYTES) {
            return failedWrite(
                    WriteError.Kind.REJECTED,
                    "record \"%s\" has %d bytes, but the log accepts at most %d"
                            .formatted(
                                    entry.id(), entry.data().length, PlatformLog.MAX_RECORD_BYTES));
        }
        PendingWrite pending = new PendingWrite(entry);
        synchronized (mLock) {
            PendingWrite existing = mPending.get(entry.id());
            if (existing != null) {
                return existing.future();
            }
            if (mPending.size() >= mSettings.maxPending()) {
                return failedWrite(
                        WriteError.Kind.OVERLOADED,
                        "%d records of stream \"%s\" are already pending"
                                .formatted(mPending.size(), mStream));
            }
            mPending.put(entry.id(), pending);
            mQueue.add(pending);
            pending.setTimer(mScheduler.schedule(timeout, () -> onTimeout(pending)));
            scheduleFlush(mSettings.batchDelay());
        }
        return pending.future();
    }

    /** Completes the write of a record that the follower has read; other records are ignored. */
    public void readBack(LogRecord record) {
        PendingWrite pending;
        synchronized (mLock) {
            pending = mPending.remove(record.id());
        }
        if (pending != null) {
            pending.complete(Either.right(record.offset()));
        }
    }

    /** Returns the number of records that have not been read back. */
    public int pending() {
        synchronized (mLock) {
            return mPending.size();
        }
    }

    private void onTimeout(PendingWrite pending) {
        WriteError error;
        synchronized (mLock) {
            if (!mPending.remove(pending.entry().id(), pending)) {
                return;
            }
            error = pending.timeoutError();
        }
        pending.complete(Either.left(error));
    }

    private void scheduleFlush(Duration delay) {
        if (mFlushScheduled || mBackingOff) {
            return;
        }
        mFlushScheduled = true;
        mScheduler.schedule(delay, this::flush);
    }

    private void endBackoff() {
        synchronized (mLock) {
            mBackingOff = false;
        }
        flush();
    }

    private void flush() {
        List<PendingWrite> batch;
        synchronized (mLock) {
            mFlushScheduled = false;
            removeCompletedHead();
            if (mQueue.isEmpty() || mBackingOff || mInFlight >= mSettings.maxInFlight()) {
                return;
            }
            Duration wait = mRateLimiter.tryAcquire();
            if (!wait.isZero()) {
                scheduleFlush(wait);
                return;
            }
            batch = takeBatch();
            mInFlight++;
            if (!mQueue.isEmpty()) {
                scheduleFlush(Duration.ZERO);
            }
        }
        List<LogEntry> entries = batch.stream().map(PendingWrite::entry).toList();
        append(entries).whenComplete((result, e) -> onAppendResult(batch, result, e));
    }

    private CompletableFuture<Either<LogError, List<Long>>> append(List<LogEntry> entries) {
        try {
            return mLog.append(mStream, entries);
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void removeCompletedHead() {
        while (!mQueue.isEmpty() && isCompleted(mQueue.peek())) {
            mQueue.poll();
        }
    }

    private boolean isCompleted(PendingWrite pending) {
        return mPending.get(pending.entry().id()) != pending;
    }

    private List<PendingWrite> takeBatch() {
        List<PendingWrite> batch = new ArrayList<>();
        int bytes = 0;
        while (!mQueue.isEmpty() && batch.size() < mSettings.maxRecords()) {
            int size = mQueue.peek().entry().data().length;
            if (!batch.isEmpty() && bytes + size > mSettings.maxBytes()) {
                break;
            }
            bytes += size;
            PendingWrite next = mQueue.poll();
            next.markSent();
            batch.add(next);
            removeCompletedHead();
        }
        return batch;
    }

    private void onAppendResult(
            List<PendingWrite> batch, Either<LogError, List<Long>> result, Throwable failure) {
        if (failure != null) {
            LOGGER.error("client error while appending to stream {}", mStream, failure);
            onAppendError(
                    batch,
                    new LogError.InvalidResponse(
                            "append to stream \"%s\" failed".formatted(mStream)));
            return;
        }
        if (result.isLeft()) {
            onAppendError(batch, result.getLeft());
            return;
        }
        synchronized (mLock) {
            mInFlight--;
            mBackoff.reset();
            batch.forEach(PendingWrite::markAppended);
            if (!mQueue.isEmpty()) {
                scheduleFlush(Duration.ZERO);
            }
        }
    }

    private void onAppendError(List<PendingWrite> batch, LogError error) {
        LOGGER.warn(
                "append of {} records to stream {} failed: {}",
                batch.size(),
                mStream,
                error.message());
        if (error instanceof LogError.Rejected) {
            reject(batch, error);
            return;
        }
        synchronized (mLock) {
            mInFlight--;
            List<PendingWrite> newestFirst = new ArrayList<>(batch);
            Collections.reverse(newestFirst);
            for (PendingWrite pending : newestFirst) {
                pending.markFailed(error);
                mQueue.addFirst(pending);
            }
            scheduleRetry(error);
        }
    }

    private void scheduleRetry(LogError error) {
        if (mBackingOff) {
            return;
        }
        Duration delay = mBackoff.next();
        if (error instanceof LogError.Unavailable unavailable) {
            Optional<Duration> retryAfter =
                    unavailable.retryAfter().filter(r -> r.compareTo(delay) > 0);
            scheduleBackoff(retryAfter.orElse(delay));
            return;
        }
        scheduleBackoff(delay);
    }

    private void scheduleBackoff(Duration delay) {
        mBackingOff = true;
        mScheduler.schedule(delay, this::endBackoff);
    }

    private void reject(List<PendingWrite> batch, LogError error) {
        List<PendingWrite> rejected = new ArrayList<>();
        synchronized (mLock) {
            mInFlight--;
            for (PendingWrite pending : batch) {
                if (mPending.remove(pending.entry().id(), pending)) {
                    rejected.add(pending);
                }
            }
            if (!mQueue.isEmpty()) {
                scheduleFlush(Duration.ZERO);
            }
        }
        rejected.forEach(pending -> pending.complete(Either.left(pending.rejectionError(error))));
    }

    private static CompletableFuture<Either<WriteError, Long>> failedWrite(
            WriteError.Kind kind, String detail) {
        return CompletableFuture.completedFuture(Either.left(new WriteError(kind, detail)));
    }
}
