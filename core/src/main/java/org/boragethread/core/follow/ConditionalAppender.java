package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/** Appends records to one compacted topic, on the condition that nobody else has appended any. */
public interface ConditionalAppender {

    /**
     * Result of an append that the store has answered.
     *
     * @param appended whether the records were appended; otherwise the topic ended elsewhere
     * @param endOffset offset at which the topic ends
     */
    record Result(boolean appended, long endOffset) {}

    /**
     * Appends records, all or none, if the topic ends at the given offset. After a failure they may
     * have been appended, or may still be while the topic ends there.
     *
     * @param endOffset offset at which the topic must end
     * @param records records to append; their offsets are ignored
     * @param callback called once, on the caller's event loop
     */
    void appendAt(
            long endOffset,
            List<KeyedRecord> records,
            Consumer<Either<ReadFailure, Result>> callback);
}
