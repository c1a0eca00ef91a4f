package org.boragethread.bench.load;

import java.util.Collection;
import org.boragethread.standins.upstream.Upstream;
import org.boragethread.standins.upstream.UpstreamStats;

/**
 * Sums of the statistics of several upstreams.
 *
 * @param calls calls that arrived
 * @param good calls answered completely
 * @param coldExcess calls beyond the capacity of a cold upstream
 * @param busyMs time spent on calls, in milliseconds
 * @param wastedMs part of it spent on calls without a complete answer, in milliseconds
 */
record UpstreamTotals(long calls, long good, long coldExcess, double busyMs, double wastedMs) {

    static UpstreamTotals of(Collection<Upstream> upstreams) {
        long calls = 0;
        long good = 0;
        long excess = 0;
        double busyMs = 0;
        double wastedMs = 0;
        for (Upstream upstream : upstreams) {
            UpstreamStats stats = upstream.stats();
            calls += stats.calls();
            good += stats.good();
            excess += stats.coldExcess();
            busyMs += stats.busyMs();
            wastedMs += stats.wastedMs();
        }
        return new UpstreamTotals(calls, good, excess, busyMs, wastedMs);
    }

    /**
     * Returns the share of work that did not contribute to an attained request, for pipelines of
     * one stage: calls without a complete answer, and complete answers that no request used.
     */
    double wastedShare(long attained) {
        double goodMs = (busyMs - wastedMs) / Math.max(1, good);
        double unusedMs = Math.max(0, good - attained) * goodMs;
        return busyMs == 0 ? 0 : (wastedMs + unusedMs) / busyMs;
    }
}
