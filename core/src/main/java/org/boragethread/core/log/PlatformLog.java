package org.boragethread.core.log;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. Futures never complete exceptionally and may complete on any
 * thread.
 */
public interface PlatformLog {

    /** Maximum size of the data of one record, in bytes. */
    int MAX_RECORD_BYTES = 256 * 1024;

    /**
     * Appends records to a stream in one call.
     *
     * @return the offset of each record, in the order of the entries
     */
    CompletableFuture<Either<LogError, List<Long>>> append(String stream, List<LogEntry> entries);

    /** Reads records of a stream; the batch is empty if none became available in time. */
    CompletableFuture<Either<LogError, LogBatch>> read(LogRead read);
}
