package org.boragethread.bench.path;

import java.time.Duration;

/**
 * Settings of the path measurement.
 *
 * @param perSecond four-stage requests per second
 * @param slice duration of one round of one kind
 * @param rounds number of rounds of each kind
 * @param concurrency calls in flight when the throughput is measured
 * @param seed seed of the random start times
 */
public record PathSettings(
        double perSecond, Duration slice, int rounds, int concurrency, long seed) {}
