package org.boragethread.core.log;

import java.util.Objects;

/**
 * A record to append. The array is not copied; callers must not modify it.
 *
 * @param id identifier assigned by the writer; retries use the same identifier
 * @param data content, at most {@link PlatformLog#MAX_RECORD_BYTES} bytes
 */
public record LogEntry(String id, byte[] data) {

    public LogEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(data, "data");
    }
}
