package org.boragethread.core.follow;

import java.time.Duration;

/**
 * How often a topic is read.
 *
 * @param hold time that the store holds a read until a record arrives
 * @param pause time between an answer and the next read
 * @param retry time between a failure and the next read
 */
public record FollowPace(Duration hold, Duration pause, Duration retry) {}
