package org.boragethread.standins.platform;

/**
 * Counts since the start.
 *
 * @param appends appends that took effect
 * @param records records appended
 * @param refusedAppends appends answered 503 because of their rate
 * @param lostAnswers answers that were lost after the effect
 * @param reads reads
 * @param appendBytes bytes of append bodies
 * @param readBytes bytes of read answers
 */
public record PlatformStats(
        long appends,
        long records,
        long refusedAppends,
        long lostAnswers,
        long reads,
        long appendBytes,
        long readBytes) {}
