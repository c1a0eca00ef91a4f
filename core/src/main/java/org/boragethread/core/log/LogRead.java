package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;

/**
 * Asks for records of one stream.
 *
 * @param stream name of the stream
 * @param from first wanted offset
 * @param max greatest number of records
 * @param maxWait how long the log may wait for a first record
 */
public record LogRead(String stream, long from, int max, Duration maxWait) {

    public LogRead {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(maxWait, "maxWait");
    }
}
