package org.boragethread.core.time;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.callback.CallbackGuard;

/** Runs tasks on an executor that the caller owns. A task that throws is reported. */
public final class ExecutorScheduler implements Scheduler {

    private static final Logger LOGGER = LogManager.getLogger(ExecutorScheduler.class);

    private final ScheduledExecutorService mExecutor;
    private final CallbackGuard.Owner mReport;

    /** Creates a scheduler that logs what tasks throw. */
    public ExecutorScheduler(ScheduledExecutorService executor) {
        this(executor, cause -> {});
    }

    /**
     * Creates a scheduler that logs what tasks throw.
     *
     * @param executor the executor, which the caller shuts down
     * @param report told of each task that threw
     */
    public ExecutorScheduler(ScheduledExecutorService executor, CallbackGuard.Owner report) {
        mExecutor = Objects.requireNonNull(executor, "executor");
        mReport = Objects.requireNonNull(report, "report");
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        Future<?> future =
                mExecutor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // The executor keeps the exception in a future that nobody reads.
            LOGGER.error("a timer's task failed", e);
            mReport.onCallbackFailed(e);
        }
    }
}
