package org.boragethread.core.record;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.log.LogBatch;
import org.boragethread.core.log.LogEntry;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.LogRead;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.log.RecordWriter;
import org.boragethread.core.log.WriteError;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Appends records to the platform's log through one writer per stream, and reads single records.
 */
public final class LogRecordStore implements RecordSink, RecordSource {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final PlatformLog mLog;
    private final Map<String, RecordWriter> mWriters;

    /**
     * Creates a store.
     *
     * @param writers the writer of each stream, by stream name
     */
    public LogRecordStore(PlatformLog log, Map<String, ? extends RecordWriter> writers) {
        mLog = Objects.requireNonNull(log, "log");
        mWriters = Map.copyOf(writers);
    }

    @Override
    public CompletableFuture<Either<Refusal, Long>> append(
            String stream, String id, byte[] data, Duration timeout) {
        RecordWriter writer = mWriters.get(stream);
        if (writer == null) {
            throw new IllegalArgumentException(
                    "no writer is configured for stream \"%s\"".formatted(stream));
        }
        return writer.write(new LogEntry(id, data), timeout)
                .thenApply(result -> result.mapLeft(LogRecordStore::toRefusal));
    }

    private static Refusal toRefusal(WriteError error) {
        return Refusal.notRun(RefusalReason.LOG_UNAVAILABLE, error.message(), RETRY_AFTER);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> read(String stream, long offset) {
        return mLog.read(new LogRead(stream, offset, 1, Duration.ZERO))
                .handle(
                        (result, error) ->
                                error == null ? findData(offset, result) : Optional.empty());
    }

    private static Optional<byte[]> findData(long offset, Either<LogError, LogBatch> result) {
        return result.toJavaOptional()
                .flatMap(batch -> batch.records().stream().findFirst())
                .filter(record -> record.offset() == offset)
                .map(record -> record.data());
    }
}
