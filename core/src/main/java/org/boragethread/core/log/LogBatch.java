package org.boragethread.core.log;

import java.util.List;

/**
 * The result of one read.
 *
 * @param first oldest retained offset of the stream
 * @param next offset after the newest record of the stream
 * @param records records in offset order, without gaps
 */
public record LogBatch(long first, long next, List<LogRecord> records) {

    public LogBatch {
        records = List.copyOf(records);
    }
}
