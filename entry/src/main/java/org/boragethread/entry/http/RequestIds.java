package org.boragethread.entry.http;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.boragethread.model.outcome.RequestId;

/**
 * Generates request identifiers from 64 random bits per process and a counter that starts at a
 * random value. A secure random number per request would make all threads contend for one lock.
 */
final class RequestIds {

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final long PROCESS_BITS = RANDOM.nextLong();
    private static final AtomicLong COUNTER = new AtomicLong(RANDOM.nextLong());

    private RequestIds() {}

    static RequestId next() {
        return new RequestId(PROCESS_BITS, COUNTER.incrementAndGet());
    }
}
