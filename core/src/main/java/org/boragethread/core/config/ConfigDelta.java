package org.boragethread.core.config;

import java.util.List;
import org.boragethread.core.log.LogRecord;

/**
 * All records that changed the state after one revision and up to another. Records without an
 * effect are left out.
 *
 * @param after revision that the receiver must have at least
 * @param records records in order of their offsets
 * @param revision revision that the receiver has afterwards
 */
public record ConfigDelta(long after, List<LogRecord> records, long revision) {

    public ConfigDelta {
        records = List.copyOf(records);
    }
}
