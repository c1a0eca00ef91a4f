package org.boragethread.core.record;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.log.LogBatch;
import org.boragethread.core.log.LogEntry;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.LogRead;
import org.boragethread.core.log.LogRecord;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.time.ManualTimeSource;

/** Implements {@link PlatformLog} on a {@link SimLog}. */
public final class SimPlatformLog implements PlatformLog {

    private final SimLog mLog;
    private final ManualTimeSource mTime;
    private int mAppends;

    public SimPlatformLog(SimLog log, ManualTimeSource time) {
        mLog = log;
        mTime = time;
    }

    @Override
    public CompletableFuture<Either<LogError, List<Long>>> append(
            String stream, List<LogEntry> entries) {
        mAppends++;
        CompletableFuture<Either<LogError, List<Long>>> answer = new CompletableFuture<>();
        SimLog.AppendFault fault = mLog.nextFault();
        if (fault == SimLog.AppendFault.REFUSED) {
            LogError error = new LogError.Unavailable("simulated fault", Optional.empty());
            mTime.schedule(mLog.randomDelay(), () -> answer.complete(Either.left(error)));
            return answer;
        }
        boolean isDelayed = fault == SimLog.AppendFault.DELAYED;
        Duration delay = isDelayed ? mLog.randomLongDelay() : mLog.randomDelay();
        mTime.schedule(delay, () -> write(stream, entries, fault, answer));
        LogError lost = new LogError.TimedOut("simulated fault");
        mTime.schedule(Duration.ofSeconds(1), () -> answer.complete(Either.left(lost)));
        return answer;
    }

    private void write(
            String stream,
            List<LogEntry> entries,
            SimLog.AppendFault fault,
            CompletableFuture<Either<LogError, List<Long>>> answer) {
        List<Long> offsets = new ArrayList<>();
        entries.forEach(e -> offsets.add(mLog.append(stream, e.id(), e.data())));
        if (fault == SimLog.AppendFault.DUPLICATED) {
            entries.forEach(e -> mLog.append(stream, e.id(), e.data()));
        }
        if (fault != SimLog.AppendFault.ANSWER_LOST) {
            answer.complete(Either.right(offsets));
        }
    }

    @Override
    public CompletableFuture<Either<LogError, LogBatch>> read(LogRead read) {
        CompletableFuture<Either<LogError, LogBatch>> answer = new CompletableFuture<>();
        mTime.schedule(mLog.randomDelay(), () -> answer.complete(readBatch(read)));
        return answer;
    }

    private Either<LogError, LogBatch> readBatch(LogRead read) {
        List<SimLog.Record> records = mLog.records(read.stream());
        long first = mLog.firstOffset(read.stream());
        if (read.from() < first) {
            return Either.left(new LogError.Expired(read.stream(), first, records.size()));
        }
        List<LogRecord> batch = new ArrayList<>();
        for (SimLog.Record record : records) {
            if (record.offset() >= read.from() && batch.size() < read.max()) {
                batch.add(
                        new LogRecord(
                                record.offset(), record.timeMillis(), record.id(), record.data()));
            }
        }
        return Either.right(new LogBatch(first, records.size(), batch));
    }

    public int appends() {
        return mAppends;
    }
}
