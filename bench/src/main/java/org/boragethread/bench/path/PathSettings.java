package org.boragethread.bench.path;

import java.time.Duration;

/**
 * Settings of the measurement.
 *
 * @param perSecond rate of four-stage requests
 * @param slice time of one turn
 * @param rounds number of turns of each kind
 * @param concurrency calls in flight when the throughput is measured
 * @param seed seed of the start times
 */
public record PathSettings(
        double perSecond, Duration slice, int rounds, int concurrency, long seed) {}
