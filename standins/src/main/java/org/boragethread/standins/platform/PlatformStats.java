package org.boragethread.standins.platform;

/**
 * Counters of the platform's stand-in since its start.
 *
 * @param appends appends that took effect
 * @param records records appended
 * @param refusedAppends appends answered with status 503 because of the rate limit
 * @param lostAnswers appends that took effect but whose response was dropped
 * @param reads reads answered
 * @param appendBytes size of all append requests, in bytes
 * @param readBytes size of all read responses, in bytes
 */
public record PlatformStats(
        long appends,
        long records,
        long refusedAppends,
        long lostAnswers,
        long reads,
        long appendBytes,
        long readBytes) {}
