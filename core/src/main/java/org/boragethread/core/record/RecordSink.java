package org.boragethread.core.record;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.boragethread.model.outcome.Refusal;

/** Appends records to streams of the platform's log. */
public interface RecordSink {

    /**
     * Appends one record, possibly in one batch with others.
     *
     * <p>A refusal does not prove that the record is not in the log: it may still appear later.
     *
     * @param stream name of the stream
     * @param id identifier of the record; retries use the same identifier
     * @param data content; not copied
     * @param timeout how long to try
     * @return the offset once the record has been read back; never completes exceptionally
     */
    CompletableFuture<Either<Refusal, Long>> append(
            String stream, String id, byte[] data, Duration timeout);
}
