package org.boragethread.bench.client;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Closed-loop load: keeps a fixed number of calls in flight, to find the maximum throughput. */
public final class ClosedLoop {

    private final int mConcurrency;
    private final long mEndNanos;
    private final AtomicInteger mNext = new AtomicInteger();
    private final CountDownLatch mActive;

    /** Creates a load whose duration starts now. */
    public ClosedLoop(int concurrency, Duration duration) {
        mConcurrency = concurrency;
        mEndNanos = System.nanoTime() + duration.toNanos();
        mActive = new CountDownLatch(concurrency);
    }

    /**
     * Runs calls until the duration has passed and all have ended.
     *
     * @throws InterruptedException if this thread is interrupted
     */
    public void run(IntFunction<CompletableFuture<?>> call) throws InterruptedException {
        for (int i = 0; i < mConcurrency; i++) {
            startNext(call);
        }
        mActive.await();
    }

    private void startNext(IntFunction<CompletableFuture<?>> call) {
        if (System.nanoTime() >= mEndNanos) {
            mActive.countDown();
            return;
        }
        call.apply(mNext.getAndIncrement()).whenCompleteAsync((answer, failure) -> startNext(call));
    }
}
