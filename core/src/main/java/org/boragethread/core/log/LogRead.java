package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;

/**
 * A request to read records of one stream.
 *
 * @param stream name of the stream
 * @param from first offset to read
 * @param max maximum number of records
 * @param maxWait how long the log may wait for the first record
 */
public record LogRead(String stream, long from, int max, Duration maxWait) {

    public LogRead {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(maxWait, "maxWait");
    }
}
