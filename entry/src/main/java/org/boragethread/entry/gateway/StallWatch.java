package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.boragethread.core.time.Scheduler;

/**
 * Notices that an upstream stays silent during an attempt. Silence after the end of the attempt
 * does not count: the request may wait for its stages then, or for another attempt.
 */
final class StallWatch {

    private final Scheduler mScheduler;
    private Scheduler.Timer mTimer = () -> {};

    StallWatch(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /**
     * Starts the watch, or starts it again after a sign of life.
     *
     * @param isActive whether the attempt has not ended
     * @param onStall called once if the timeout passes while the attempt is active
     */
    void start(BooleanSupplier isActive, Duration timeout, Runnable onStall) {
        stop();
        mTimer =
                mScheduler.schedule(
                        timeout,
                        () -> {
                            if (isActive.getAsBoolean()) {
                                onStall.run();
                            }
                        });
    }

    void stop() {
        mTimer.cancel();
    }
}
