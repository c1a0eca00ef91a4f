package org.boragethread.bench.load;

import java.time.Duration;

/**
 * Settings of the measurement.
 *
 * @param duration measured time of each variant
 * @param seed seed of the start times
 */
public record LoadSettings(Duration duration, long seed) {}
