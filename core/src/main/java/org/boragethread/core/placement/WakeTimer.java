package org.boragethread.core.placement;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.Scheduler;

/** A timer that runs a task at the earliest time that was set since it last ran. */
final class WakeTimer {

    private final Scheduler mScheduler;
    private final Runnable mTask;
    private Optional<Scheduler.Timer> mTimer = Optional.empty();
    private long mAt;

    WakeTimer(Scheduler scheduler, Runnable task) {
        mScheduler = scheduler;
        mTask = task;
    }

    /** Runs the task at a monotonic time, unless it runs before. */
    void wakeAt(long at, long now) {
        if (mTimer.isPresent() && mAt <= at) {
            return;
        }
        mTimer.ifPresent(Scheduler.Timer::cancel);
        mAt = at;
        Duration delay = Duration.ofNanos(Math.max(0, at - now));
        mTimer = Optional.of(mScheduler.schedule(delay, this::onTimer));
    }

    private void onTimer() {
        mTimer = Optional.empty();
        mTask.run();
    }
}
