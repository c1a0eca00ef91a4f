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

/** In-memory log on a manual clock, with outages, lost responses and expiry on demand. */
public final class InMemoryLog implements PlatformLog {

    private final ManualTimeSource mTime;
    private final Map<String, Stream> mStreams = new HashMap<>();
    private boolean mUnavailable;
    private int mResponsesToLose;
    private int mAppends;

    public InMemoryLog(ManualTimeSource time) {
        mTime = time;
    }

    public void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /** Makes the next appends take effect without a response. */
    public void loseResponses(int count) {
        mResponsesToLose = count;
    }

    /** Removes the records before an offset. */
    public void expireBefore(String stream, long offset) {
        Stream target = stream(stream);
        while (target.mFirst < offset) {
            target.mRecords.remove(0);
            target.mFirst++;
        }
    }

    public List<LogRecord> records(String stream) {
        return stream(stream).mRecords;
    }

    /** Returns the number of appends that took effect. */
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
        Stream target = stream(stream);
        for (LogEntry entry : entries) {
            LogRecord record =
                    new LogRecord(target.next(), mTime.millis(), entry.id(), entry.data());
            target.mRecords.add(record);
            offsets.add(record.offset());
        }
        List<Runnable> waiting = new ArrayList<>(target.mWaiting);
        target.mWaiting.clear();
        waiting.forEach(Runnable::run);
        if (mResponsesToLose > 0) {
            mResponsesToLose--;
            return CompletableFuture.completedFuture(
                    Either.left(new LogError.TimedOut("the response was lost")));
        }
        return CompletableFuture.completedFuture(Either.right(offsets));
    }

    @Override
    public CompletableFuture<Either<LogError, LogBatch>> read(LogRead read) {
        CompletableFuture<Either<LogError, LogBatch>> result = new CompletableFuture<>();
        Stream target = stream(read.stream());
        if (mUnavailable || read.from() < target.next() || read.maxWait().isZero()) {
            result.complete(readNow(read));
            return result;
        }
        target.mWaiting.add(() -> result.complete(readNow(read)));
        mTime.schedule(read.maxWait(), () -> result.complete(readNow(read)));
        return result;
    }

    private Either<LogError, LogBatch> readNow(LogRead read) {
        Stream target = stream(read.stream());
        if (mUnavailable) {
            return Either.left(unavailable());
        }
        if (read.from() < target.mFirst) {
            return Either.left(new LogError.Expired(read.stream(), target.mFirst, target.next()));
        }
        int begin = (int) Math.min(target.mRecords.size(), read.from() - target.mFirst);
        int end = Math.min(target.mRecords.size(), begin + read.max());
        return Either.right(
                new LogBatch(target.mFirst, target.next(), target.mRecords.subList(begin, end)));
    }

    private static LogError unavailable() {
        return new LogError.Unavailable("the log is unavailable", Optional.empty());
    }

    private Stream stream(String name) {
        return mStreams.computeIfAbsent(name, n -> new Stream());
    }

    /** Upper bound in tests for the duration of one round of polls. */
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
