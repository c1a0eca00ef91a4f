package org.boragethread.core.log;

import java.util.Objects;

/**
 * A record to append. The array is not copied; callers do not change it.
 *
 * @param id identifier made by the writer; a repeated append carries the same one
 * @param data content, at most {@link PlatformLog#MAX_RECORD_BYTES} bytes
 */
public record LogEntry(String id, byte[] data) {

    public LogEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(data, "data");
    }
}
