package org.boragethread.entry.serve;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** Thread-safe random generator that delegates to {@link ThreadLocalRandom}. */
final class ThreadLocalRandomGenerator implements RandomGenerator {

    static final RandomGenerator INSTANCE = new ThreadLocalRandomGenerator();

    private ThreadLocalRandomGenerator() {}

    @Override
    public long nextLong() {
        return ThreadLocalRandom.current().nextLong();
    }
}
