package org.boragethread.standins.upstream;

/**
 * Counters of one upstream since its start or the last reset.
 *
 * @param calls calls that arrived
 * @param good calls answered completely
 * @param failed calls answered with status 500 or broken off
 * @param refused calls answered with status 503 without any work
 * @param cancelled calls whose caller disconnected before the end
 * @param overloads number of times that the upstream was overloaded
 * @param coldExcess calls that arrived while the upstream was cold and at its limit
 * @param concurrent calls that are running or queued now
 * @param maxConcurrent maximum number of calls running or queued at once
 * @param busyMs total time for which calls ran, in milliseconds
 * @param wastedMs part of {@code busyMs} spent on calls that were not answered completely, in
 *     milliseconds
 * @param prefixHits engine calls whose prefix was cached
 * @param cold whether the upstream is cold or warming up
 */
public record UpstreamStats(
        long calls,
        long good,
        long failed,
        long refused,
        long cancelled,
        long overloads,
        long coldExcess,
        int concurrent,
        int maxConcurrent,
        double busyMs,
        double wastedMs,
        long prefixHits,
        boolean cold) {}
