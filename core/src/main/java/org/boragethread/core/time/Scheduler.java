package org.boragethread.core.time;

import java.time.Duration;

/** Runs tasks later. */
public interface Scheduler {

    /** Runs a task once after a delay. */
    Timer schedule(Duration delay, Runnable task);

    /** A task that may still be stopped. */
    interface Timer {
        /** Stops the task if it has not begun. */
        void cancel();
    }
}
