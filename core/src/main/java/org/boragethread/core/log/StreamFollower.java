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
 * Reads one stream in order with long polls and passes the records to a handler. It starts no
 * threads: the handler runs on the threads that complete the futures of the log, one call at a
 * time.
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
     * Starts reading at an offset. The result of a read in progress is discarded unless its handler
     * is already running.
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

    /** Returns the offset of the next record to read. */
    public synchronized long nextOffset() {
        return mNextOffset;
    }

    /**
     * Returns the time since the follower was last caught up with the stream, or empty if it never
     * was.
     */
    public synchronized Optional<Duration> staleness() {
        if (mCaughtUpAt.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(mTime.since(mCaughtUpAt.getAsLong()));
    }

    /** Returns whether the last read failed. */
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
        attempt(generation, () -> read(read, generation));
    }

    private void read(LogRead read, long generation) {
        long startNanos = mTime.nanoTime();
        mLog.read(read)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                LOGGER.error(
                                        "client error while reading stream {}", mStream, failure);
                                retry(generation);
                                return;
                            }
                            attempt(
                                    generation,
                                    () -> onReadResult(result, read, startNanos, generation));
                        });
    }

    /** Runs a step; if it throws, the read is repeated. */
    private void attempt(long generation, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOGGER.error("a step of reading stream {} failed", mStream, e);
            retry(generation);
        }
    }

    private void onReadResult(
            Either<LogError, LogBatch> result, LogRead read, long startNanos, long generation) {
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
        } catch (RuntimeException | Error e) {
            LOGGER.error(
                    "handler failed for records of stream {} from offset {}",
                    mStream,
                    read.from(),
                    e);
            retry(generation);
            return;
        }
        scheduleNextPoll(batch, startNanos, generation);
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

    private synchronized void scheduleNextPoll(LogBatch batch, long startNanos, long generation) {
        mFailing = false;
        mBackoff.reset();
        boolean isEarly = mTime.since(startNanos).compareTo(mSettings.minPause()) < 0;
        Duration pause =
                batch.records().isEmpty() && isEarly ? mSettings.minPause() : Duration.ZERO;
        if (isCurrent(generation)) {
            schedule(pause, generation);
        }
    }

    private void onReadError(LogError error, long generation) {
        LOGGER.warn("failed to read stream {}: {}", mStream, error.message());
        if (!(error instanceof LogError.Expired expired)) {
            retry(generation);
            return;
        }
        mHandler.onExpired(expired)
                .whenComplete(
                        (next, failure) -> {
                            if (failure != null) {
                                LOGGER.error(
                                        "failed to load a snapshot for stream {}",
                                        mStream,
                                        failure);
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
        boolean isRetained = mNextOffset >= expired.first();
        schedule(isRetained ? Duration.ZERO : mBackoff.next(), generation);
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
                    "stream {} ends at offset {}, but the next expected offset is {}: the log has"
                            + " lost records, contact the operators of the platform",
                    mStream,
                    batch.next(),
                    from);
            return false;
        }
        if (!isContiguous(batch.records(), from)) {
            LOGGER.warn("stream {}: records are not contiguous from offset {}", mStream, from);
            return false;
        }
        return true;
    }

    private static boolean isContiguous(List<LogRecord> records, long from) {
        long expectedOffset = from;
        for (LogRecord record : records) {
            if (record.offset() != expectedOffset++) {
                return false;
            }
        }
        return true;
    }

    /** Builds followers. */
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

        /** Sets the follower settings. */
        public Builder settings(FollowerSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the handler that receives the records. */
        public Builder handler(StreamHandler handler) {
            mHandler = handler;
            return this;
        }

        /** Sets the seed of the backoff jitter. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Builds a follower that has not been started. */
        public StreamFollower build() {
            return new StreamFollower(this);
        }
    }
}
