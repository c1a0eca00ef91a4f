package org.boragethread.entry.serve;

import java.util.Objects;
import java.util.SplittableRandom;
import org.boragethread.core.log.AppendRateLimiter;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * What is needed to follow and write streams of the platform's log.
 *
 * @param log the log
 * @param budget appends a second, shared by all streams of the process
 * @param time the clock
 * @param scheduler runs delayed tasks
 * @param random source of the random part of delays
 */
record LogAccess(
        PlatformLog log,
        AppendRateLimiter appendRateLimiter,
        TimeSource time,
        Scheduler scheduler,
        SplittableRandom random) {

    LogAccess {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(appendRateLimiter, "budget");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(random, "random");
    }
}
