package org.boragethread.core.log;

import java.util.Objects;

/**
 * A record as the log holds it. The array is not copied; readers do not change it.
 *
 * @param offset position in the stream, from 0
 * @param timeMillis wall-clock time of the append at the log, in milliseconds since 1970
 * @param id identifier made by the writer
 * @param data content
 */
public record LogRecord(long offset, long timeMillis, String id, byte[] data) {

    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(data, "data");
    }
}
