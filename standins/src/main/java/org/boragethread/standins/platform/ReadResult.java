package org.boragethread.standins.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * Result of a read from a stream.
 *
 * @param first oldest retained offset
 * @param next offset that the next record will get
 * @param records records from the requested offset on
 * @param expired whether the requested offset is below the oldest retained one
 */
public record ReadResult(
        long first, long next, List<StoredRecord> records, @JsonIgnore boolean expired) {}
