package org.boragethread.entry.serve;

import java.util.Objects;
import java.util.SplittableRandom;
import org.boragethread.core.log.AppendRateLimiter;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Collaborators for following and writing streams of the platform's log.
 *
 * @param log the log
 * @param appendRateLimiter limits appends per second, shared by all streams that use this instance
 * @param time the clock
 * @param scheduler scheduler of delayed tasks
 * @param random seeds the jitter of delays
 */
record LogAccess(
        PlatformLog log,
        AppendRateLimiter appendRateLimiter,
        TimeSource time,
        Scheduler scheduler,
        SplittableRandom random) {

    LogAccess {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(appendRateLimiter, "appendRateLimiter");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(random, "random");
    }
}
