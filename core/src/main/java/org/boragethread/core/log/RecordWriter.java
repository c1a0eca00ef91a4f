package org.boragethread.core.log;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Writes records to one stream. */
public interface RecordWriter {

    /**
     * Writes a record. Because of retries it may appear in the stream more than once; readers must
     * ignore all but the first record with a given id.
     *
     * @param timeout how long to try
     * @return the offset at which the record was read back; the future never completes
     *     exceptionally
     */
    CompletableFuture<Either<WriteError, Long>> write(LogEntry entry, Duration timeout);
}
