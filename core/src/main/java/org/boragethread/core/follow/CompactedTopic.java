package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Access to one compacted topic. Each callback is called once, on the caller's event loop. */
public interface CompactedTopic {

    /**
     * Reads one part of a snapshot.
     *
     * @param after the last key of the previous part, or empty for the first part
     */
    void readSnapshotPart(
            Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback);

    /**
     * Reads records in order.
     *
     * @param offset offset of the first record
     * @param wait time to wait for a record if there is none
     */
    void read(long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback);
}
