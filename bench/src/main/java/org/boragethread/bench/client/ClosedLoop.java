package org.boragethread.bench.client;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Keeps a number of calls running, to find the greatest throughput. */
public final class ClosedLoop {

    private final int mConcurrency;
    private final long mEndNanos;
    private final AtomicInteger mNext = new AtomicInteger();
    private final CountDownLatch mLanes;

    /** Makes a load that begins now. */
    public ClosedLoop(int concurrency, Duration duration) {
        mConcurrency = concurrency;
        mEndNanos = System.nanoTime() + duration.toNanos();
        mLanes = new CountDownLatch(concurrency);
    }

    /**
     * Runs calls until the time is over.
     *
     * @throws InterruptedException if this thread is interrupted
     */
    public void run(IntFunction<CompletableFuture<?>> call) throws InterruptedException {
        for (int i = 0; i < mConcurrency; i++) {
            next(call);
        }
        mLanes.await();
    }

    private void next(IntFunction<CompletableFuture<?>> call) {
        if (System.nanoTime() >= mEndNanos) {
            mLanes.countDown();
            return;
        }
        call.apply(mNext.getAndIncrement()).whenCompleteAsync((answer, failure) -> next(call));
    }
}
