package org.boragethread.core.follow;

import java.time.Duration;

/**
 * Timing of the reads of a topic.
 *
 * @param longPollTime long-poll time: how long the store delays its response until a record arrives
 * @param pause time between a response and the next read
 * @param retry time between a failure and the next read
 */
public record ReadTiming(Duration longPollTime, Duration pause, Duration retry) {}
