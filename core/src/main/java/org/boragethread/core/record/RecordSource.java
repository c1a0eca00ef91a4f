package org.boragethread.core.record;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads single records of the platform's log. */
public interface RecordSource {

    /**
     * Reads the content of one record.
     *
     * @return the content, or empty if the log cannot be reached or no longer holds the record;
     *     never completes exceptionally
     */
    CompletableFuture<Optional<byte[]>> read(String stream, long offset);
}
