package org.boragethread.core.time;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks on an executor that the caller owns. */
public final class ExecutorScheduler implements Scheduler {

    private final ScheduledExecutorService mExecutor;

    /** Creates a scheduler for an executor, which the caller shuts down. */
    public ExecutorScheduler(ScheduledExecutorService executor) {
        mExecutor = Objects.requireNonNull(executor, "executor");
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        Future<?> future = mExecutor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
