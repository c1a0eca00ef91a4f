package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Access to one topic. Each receiver is called once, on the caller's event loop. */
public interface KeyedTopic {

    /**
     * Reads the newest record of each key.
     *
     * @param after the last key of the part read before, or empty to begin
     */
    void newest(Optional<String> after, Consumer<Either<ReadFailure, KeyedSnapshot>> receiver);

    /**
     * Reads records in order.
     *
     * @param offset offset of the first record
     * @param wait time to wait for a record if there is none
     */
    void read(long offset, Duration wait, Consumer<Either<ReadFailure, KeyedPage>> receiver);
}
