package org.boragethread.standins.upstream;

/**
 * Counts of one upstream since its start or since the counts were reset.
 *
 * @param calls calls that arrived
 * @param good calls answered whole
 * @param failed calls answered 500 or cut
 * @param refused calls answered 503 without work
 * @param cancelled calls whose caller left before the end
 * @param overloads times that the upstream fell over
 * @param coldExcess calls that arrived while it held as many as it bears, cold
 * @param concurrent calls held now
 * @param maxConcurrent greatest number of calls held
 * @param busyMs time of work on calls, in milliseconds
 * @param wastedMs part of it spent on calls that were not answered whole, in milliseconds
 * @param prefixHits engine calls whose prefix was cached
 * @param cold whether it is cold or warming
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
