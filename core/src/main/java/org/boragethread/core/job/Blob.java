package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Bytes that are kept as payloads of records of the job stream.
 *
 * @param contentType media type, or an empty string
 * @param parts offsets of the records in order; in a record's header an empty list stands for the
 *     record's own payload
 * @param bytes length of all parts together
 */
public record Blob(
        @JsonProperty("m") String contentType,
        @JsonProperty("p") List<Long> parts,
        @JsonProperty("b") long bytes) {

    public Blob {
        contentType = contentType == null ? "" : contentType;
        parts = parts == null ? List.of() : List.copyOf(parts);
    }

    /** Names the record itself as the only part if the list of parts is empty. */
    Blob resolve(long ownOffset) {
        return parts.isEmpty() ? new Blob(contentType, List.of(ownOffset), bytes) : this;
    }
}
