package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Reference to bytes that are stored in the payloads of records of the job stream.
 *
 * @param contentType media type, or an empty string
 * @param parts offsets of the records, in order; in a record's header an empty list refers to the
 *     record's own payload
 * @param bytes total length of all parts
 */
public record Blob(
        @JsonProperty("m") String contentType,
        @JsonProperty("p") List<Long> parts,
        @JsonProperty("b") long bytes) {

    public Blob {
        contentType = contentType == null ? "" : contentType;
        parts = parts == null ? List.of() : List.copyOf(parts);
    }

    /** Replaces an empty list of parts by the offset of the record that contains the blob. */
    Blob resolve(long ownOffset) {
        return parts.isEmpty() ? new Blob(contentType, List.of(ownOffset), bytes) : this;
    }
}
