package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/** Appends records to one compacted topic. */
public interface TopicAppender {

    /**
     * Appends records, all or none. After a failure they may have been appended.
     *
     * @param records records to append; their offsets are ignored
     * @param callback called once, on the caller's event loop
     */
    void append(List<KeyedRecord> records, Consumer<Either<ReadFailure, Boolean>> callback);
}
