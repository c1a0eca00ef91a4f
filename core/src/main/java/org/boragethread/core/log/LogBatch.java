package org.boragethread.core.log;

import java.util.List;

/**
 * The answer to one read.
 *
 * @param first oldest offset that the stream still holds
 * @param next offset after the stream's newest record
 * @param records records in order of their offsets, without gaps
 */
public record LogBatch(long first, long next, List<LogRecord> records) {

    public LogBatch {
        records = List.copyOf(records);
    }
}
