package org.boragethread.bench.load;

import java.time.Duration;

/**
 * Settings of the load measurement.
 *
 * @param duration measured time of each variant
 * @param seed seed of the random start times
 */
public record LoadSettings(Duration duration, long seed) {}
