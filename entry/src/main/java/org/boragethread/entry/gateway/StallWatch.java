package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Notices that an upstream stays silent during an attempt. Silence after the end of the attempt
 * does not count: the request may wait for its stages then, or for another attempt. Neither does
 * time in which this process ran late, since it could not read then what had arrived.
 */
final class StallWatch {

    /** Delay of a timer in a process that is not late. */
    private static final Duration MAX_TIMER_DELAY = Duration.ofMillis(20);

    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private Scheduler.Timer mTimer = () -> {};

    StallWatch(Scheduler scheduler, TimeSource time) {
        mScheduler = scheduler;
        mTime = time;
    }

    /**
     * Starts the watch, or starts it again after a sign of life.
     *
     * @param isActive whether the attempt has not ended
     * @param onStall called once if the timeout passes while the attempt is active
     */
    void start(BooleanSupplier isActive, Duration timeout, Runnable onStall) {
        stop();
        long dueAt = mTime.nanoTime() + timeout.toNanos();
        mTimer = mScheduler.schedule(timeout, () -> onDue(isActive, timeout, dueAt, onStall));
    }

    private void onDue(BooleanSupplier isActive, Duration timeout, long dueAt, Runnable onStall) {
        if (!isActive.getAsBoolean()) {
            return;
        }
        Duration late = mTime.since(dueAt);
        if (late.compareTo(MAX_TIMER_DELAY) > 0) {
            start(isActive, late.compareTo(timeout) < 0 ? late : timeout, onStall);
            return;
        }
        onStall.run();
    }

    void stop() {
        mTimer.cancel();
    }
}
