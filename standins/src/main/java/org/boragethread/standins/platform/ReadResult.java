package org.boragethread.standins.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * Part of a stream.
 *
 * @param first oldest kept offset
 * @param next offset after the newest record
 * @param records records from the wanted offset on
 * @param expired whether the wanted offset is below the oldest kept one
 */
public record ReadResult(
        long first, long next, List<StoredRecord> records, @JsonIgnore boolean expired) {}
