package org.boragethread.bench.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load: starts calls at seeded random times that do not depend on responses. The time of
 * a call counts from its intended start, which avoids coordinated omission: a slow system under
 * test cannot hide its delays by delaying later calls.
 */
public final class OpenLoop {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double mPerSecond;
    private final Duration mDuration;
    private final SplittableRandom mRandom;

    /** Creates a load with exponentially distributed gaps between starts. */
    public OpenLoop(double perSecond, Duration duration, long seed) {
        mPerSecond = perSecond;
        mDuration = duration;
        mRandom = new SplittableRandom(seed);
    }

    /** Starts all calls and waits until each has succeeded or failed. */
    public void run(Call call) {
        long start = System.nanoTime();
        long intended = start;
        List<CompletableFuture<?>> running = new ArrayList<>();
        int number = 0;
        while (intended - start < mDuration.toNanos()) {
            long wait = intended - System.nanoTime();
            if (wait > 0) {
                LockSupport.parkNanos(wait);
                continue;
            }
            running.add(call.start(number, intended));
            number++;
            double gap = -Math.log(1 - mRandom.nextDouble()) / mPerSecond;
            intended += (long) (gap * NANOS_PER_SECOND);
        }
        for (CompletableFuture<?> future : running) {
            future.handle((answer, failure) -> true).join();
        }
    }

    /** Starts one call. */
    @FunctionalInterface
    public interface Call {
        /**
         * Starts a call.
         *
         * @param number number of the call, from 0
         * @param intendedNanos monotonic time at which it should have started, in nanoseconds
         */
        CompletableFuture<?> start(int number, long intendedNanos);
    }
}
