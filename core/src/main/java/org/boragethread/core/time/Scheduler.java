package org.boragethread.core.time;

import java.time.Duration;

/** Runs tasks after a delay. */
public interface Scheduler {

    /** Runs a task once after a delay. */
    Timer schedule(Duration delay, Runnable task);

    /** A scheduled task that can be cancelled. */
    interface Timer {
        /** Cancels the task unless it has started. */
        void cancel();
    }
}
