package org.boragethread.core.log;

import java.util.Objects;

/**
 * A record in the log. The array is not copied; readers must not modify it.
 *
 * @param offset position in the stream, from 0
 * @param timeMillis wall-clock time at which the log appended the record, in milliseconds since the
 *     Unix epoch
 * @param id identifier assigned by the writer
 * @param data content
 */
public record LogRecord(long offset, long timeMillis, String id, byte[] data) {

    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(data, "data");
    }
}
