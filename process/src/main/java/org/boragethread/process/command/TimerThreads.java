package org.boragethread.process.command;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates executors for timers. */
public final class TimerThreads {

    private TimerThreads() {}

    /**
     * Returns an executor that removes cancelled timers from its queue immediately. Most timers are
     * cancelled and would otherwise stay queued until they expire.
     */
    public static ScheduledExecutorService create(int threads) {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(threads, task -> new Thread(task, "timers"));
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }
}
