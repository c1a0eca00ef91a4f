package org.boragethread.core.log;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.time.ManualTimeSource;

/** A log in memory on a paused clock, with outages, lost answers and expiry on command. */
public final class InMemoryLog implements PlatformLog {

    private final ManualTimeSource mTime;
    private final Map<String, Stream> mStreams = new HashMap<>();
    private boolean mUnavailable;
    private int mResponsesToLose;
    private int mAppends;

    public InMemoryLog(ManualTimeSource time) {
        mTime = time;
    }

    public void setUnavailable(boolean down) {
        mUnavailable = down;
    }

    /** Lets the next appends take effect without an answer. */
    public void loseResponses(int count) {
        mResponsesToLose = count;
    }

    /** Drops the records below an offset. */
    public void expireBefore(String stream, long offset) {
        Stream held = stream(stream);
        while (held.mFirst < offset) {
            held.mRecords.remove(0);
            held.mFirst++;
        }
    }

    public List<LogRecord> records(String stream) {
        return stream(stream).mRecords;
    }

    /** Returns how many appends took effect. */
    public int appends() {
        return mAppends;
    }

    @Override
    public CompletableFuture<Either<LogError, List<Long>>> append(
            String stream, List<LogEntry> entries) {
        if (mUnavailable) {
            return CompletableFuture.completedFuture(Either.left(unavailable()));
        }
        mAppends++;
        List<Long> offsets = new ArrayList<>();
        Stream held = stream(stream);
        for (LogEntry entry : entries) {
            LogRecord record = new LogRecord(held.next(), mTime.millis(), entry.id(), entry.data());
            held.mRecords.add(record);
            offsets.add(record.offset());
        }
        List<Runnable> waiting = new ArrayList<>(held.mWaiting);
        held.mWaiting.clear();
        waiting.forEach(Runnable::run);
        if (mResponsesToLose > 0) {
            mResponsesToLose--;
            return CompletableFuture.completedFuture(
                    Either.left(new LogError.TimedOut("the answer was lost")));
        }
        return CompletableFuture.completedFuture(Either.right(offsets));
    }

    @Override
    public CompletableFuture<Either<LogError, LogBatch>> read(LogRead read) {
        CompletableFuture<Either<LogError, LogBatch>> result = new CompletableFuture<>();
        Stream held = stream(read.stream());
        if (mUnavailable || read.from() < held.next() || read.maxWait().isZero()) {
            result.complete(readNow(read));
            return result;
        }
        held.mWaiting.add(() -> result.complete(readNow(read)));
        mTime.schedule(read.maxWait(), () -> result.complete(readNow(read)));
        return result;
    }

    private Either<LogError, LogBatch> readNow(LogRead read) {
        Stream held = stream(read.stream());
        if (mUnavailable) {
            return Either.left(unavailable());
        }
        if (read.from() < held.mFirst) {
            return Either.left(new LogError.Expired(read.stream(), held.mFirst, held.next()));
        }
        int begin = (int) Math.min(held.mRecords.size(), read.from() - held.mFirst);
        int end = Math.min(held.mRecords.size(), begin + read.max());
        return Either.right(
                new LogBatch(held.mFirst, held.next(), held.mRecords.subList(begin, end)));
    }

    private static LogError unavailable() {
        return new LogError.Unavailable("the log is down", Optional.empty());
    }

    private Stream stream(String name) {
        return mStreams.computeIfAbsent(name, n -> new Stream());
    }

    /** Longest wait in tests for one round of polls. */
    public static final Duration POLL_ROUND = Duration.ofSeconds(3);

    private static final class Stream {
        private final List<LogRecord> mRecords = new ArrayList<>();
        private final List<Runnable> mWaiting = new ArrayList<>();
        private long mFirst;

        private long next() {
            return mFirst + mRecords.size();
        }
    }
}
