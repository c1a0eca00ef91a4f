package org.boragethread.core.log;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Reads one stream in order with long polls and hands the records to a handler. It starts no
 * threads: the handler runs on the threads that complete the log's futures, one call at a time.
 */
public final class StreamFollower {

    private static final Logger LOGGER = LogManager.getLogger(StreamFollower.class);

    private final PlatformLog mLog;
    private final String mStream;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final FollowerSettings mSettings;
    private final StreamHandler mHandler;
    private final Backoff mBackoff;
    private boolean mRunning;
    private long mGeneration;
    private long mNextOffset;
    private boolean mFailing;
    private OptionalLong mCaughtUpAt = OptionalLong.empty();

    private StreamFollower(Builder builder) {
        mLog = Objects.requireNonNull(builder.mLog, "log");
        mStream = Objects.requireNonNull(builder.mStream, "stream");
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mScheduler = Objects.requireNonNull(builder.mScheduler, "scheduler");
        mSettings = Objects.requireNonNull(builder.mSettings, "settings");
        mHandler = Objects.requireNonNull(builder.mHandler, "handler");
        mBackoff = new Backoff(mSettings.minBackoff(), mSettings.maxBackoff(), builder.mSeed);
    }

    /**
     * Begins to read at an offset. The answer of a read in progress is dropped, unless its handler
     * runs already.
     */
    public synchronized void start(long from) {
        mRunning = true;
        mNextOffset = from;
        long generation = ++mGeneration;
        schedule(Duration.ZERO, generation);
    }

    /** Stops reading. */
    public synchronized void stop() {
        mRunning = false;
        mGeneration++;
    }

    /** Returns the offset of the next wanted record. */
    public synchronized long nextOffset() {
        return mNextOffset;
    }

    /** Returns how long ago all records of the stream had been read, if they ever had been. */
    public synchronized Optional<Duration> staleness() {
        if (mCaughtUpAt.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(mTime.since(mCaughtUpAt.getAsLong()));
    }

    /** Tells whether the last read failed. */
    public synchronized boolean isFailing() {
        return mFailing;
    }

    private void schedule(Duration delay, long generation) {
        mScheduler.schedule(delay, () -> poll(generation));
    }

    private void poll(long generation) {
        LogRead read;
        synchronized (this) {
            if (!isCurrent(generation)) {
                return;
            }
            Duration wait = mCaughtUpAt.isPresent() ? mSettings.maxWait() : Duration.ZERO;
            read = new LogRead(mStream, mNextOffset, mSettings.maxRecords(), wait);
        }
        long began = mTime.nanoTime();
        mLog.read(read)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                LOGGER.error("reading {} failed in the client", mStream, failure);
                                retry(generation);
                                return;
                            }
                            onReadResult(result, read, began, generation);
                        });
    }

    private void onReadResult(
            Either<LogError, LogBatch> result, LogRead read, long began, long generation) {
        synchronized (this) {
            if (!isCurrent(generation)) {
                return;
            }
        }
        if (result.isLeft()) {
            onReadError(result.getLeft(), generation);
            return;
        }
        LogBatch batch = result.get();
        if (!isValid(batch, read.from())) {
            retry(generation);
            return;
        }
        try {
            deliver(batch, read.from(), generation);
        } catch (RuntimeException e) {
            LOGGER.error("stream {}: records from {} not handled", mStream, read.from(), e);
            retry(generation);
            return;
        }
        scheduleNextPoll(batch, began, generation);
    }

    private void deliver(LogBatch batch, long from, long generation) {
        long next = from + batch.records().size();
        boolean caughtUp = next >= batch.next();
        mHandler.onBatch(batch, caughtUp);
        synchronized (this) {
            if (!isCurrent(generation)) {
                return;
            }
            mNextOffset = next;
            if (caughtUp) {
                mCaughtUpAt = OptionalLong.of(mTime.nanoTime());
            }
        }
    }

    private synchronized void scheduleNextPoll(LogBatch batch, long began, long generation) {
        mFailing = false;
        mBackoff.reset();
        boolean early = mTime.since(began).compareTo(mSettings.minPause()) < 0;
        Duration pause = batch.records().isEmpty() && early ? mSettings.minPause() : Duration.ZERO;
        if (isCurrent(generation)) {
            schedule(pause, generation);
        }
    }

    private void onReadError(LogError error, long generation) {
        LOGGER.warn("reading stream {}: {}", mStream, error.message());
        if (!(error instanceof LogError.Expired expired)) {
            retry(generation);
            return;
        }
        mHandler.onExpired(expired)
                .whenComplete(
                        (next, failure) -> {
                            if (failure != null) {
                                LOGGER.error("stream {}: no snapshot", mStream, failure);
                                retry(generation);
                                return;
                            }
                            resumeAfterExpiry(next, expired, generation);
                        });
    }

    private synchronized void resumeAfterExpiry(
            long next, LogError.Expired expired, long generation) {
        if (!isCurrent(generation)) {
            return;
        }
        mNextOffset = Math.max(mNextOffset, next);
        boolean helped = mNextOffset >= expired.first();
        schedule(helped ? Duration.ZERO : mBackoff.next(), generation);
    }

    private synchronized void retry(long generation) {
        mFailing = true;
        if (isCurrent(generation)) {
            schedule(mBackoff.next(), generation);
        }
    }

    private boolean isCurrent(long generation) {
        return mRunning && mGeneration == generation;
    }

    private boolean isValid(LogBatch batch, long from) {
        if (batch.next() < from) {
            LOGGER.error(
                    "stream {} ends at {} and {} is wanted; the log has lost records, ask the"
                            + " platform's operators",
                    mStream,
                    batch.next(),
                    from);
            return false;
        }
        if (!isContiguous(batch.records(), from)) {
            LOGGER.warn("stream {}: records do not follow on {}", mStream, from);
            return false;
        }
        return true;
    }

    private static boolean isContiguous(List<LogRecord> records, long from) {
        long expected = from;
        for (LogRecord record : records) {
            if (record.offset() != expected++) {
                return false;
            }
        }
        return true;
    }

    /** Makes followers. */
    public static final class Builder {
        private PlatformLog mLog;
        private String mStream;
        private TimeSource mTime;
        private Scheduler mScheduler;
        private FollowerSettings mSettings = FollowerSettings.DEFAULT;
        private StreamHandler mHandler;
        private long mSeed;

        /** Sets the log and the stream to read. */
        public Builder stream(PlatformLog log, String stream) {
            mLog = log;
            mStream = stream;
            return this;
        }

        /** Sets the clock and the scheduler. */
        public Builder time(TimeSource time, Scheduler scheduler) {
            mTime = time;
            mScheduler = scheduler;
            return this;
        }

        /** Sets the settings. */
        public Builder settings(FollowerSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets who receives the records. */
        public Builder handler(StreamHandler handler) {
            mHandler = handler;
            return this;
        }

        /** Sets the seed of the random part of delays. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Returns a follower that has not started. */
        public StreamFollower build() {
            return new StreamFollower(this);
        }
    }
}
