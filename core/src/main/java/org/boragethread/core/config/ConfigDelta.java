package org.boragethread.core.config;

import java.util.List;
import org.boragethread.core.log.LogRecord;

/**
 * The records that changed the configuration after one revision and up to another. Records without
 * an effect are omitted.
 *
 * @param baseRevision revision to which the delta applies; a receiver at a later revision skips the
 *     records that it has already applied
 * @param records records in order of their offsets
 * @param revision revision of the receiver once the delta is applied
 */
public record ConfigDelta(long baseRevision, List<LogRecord> records, long revision) {

    public ConfigDelta {
        records = List.copyOf(records);
    }
}
