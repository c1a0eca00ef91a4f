package org.boragethread.entry.http;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.boragethread.model.outcome.RequestId;

/**
 * Makes request identifiers: 64 random bits for the process and a counter that starts at a random
 * value. A secure random number for each request would make all threads wait for one lock.
 */
final class RequestIds {

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final long PROCESS = RANDOM.nextLong();
    private static final AtomicLong COUNTER = new AtomicLong(RANDOM.nextLong());

    private RequestIds() {}

    static RequestId next() {
        return new RequestId(PROCESS, COUNTER.incrementAndGet());
    }
}
