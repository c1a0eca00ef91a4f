package org.boragethread.bench.load;

import java.util.Collection;
import org.boragethread.standins.upstream.Upstream;
import org.boragethread.standins.upstream.UpstreamStats;

/**
 * Sums of the counts of several upstreams.
 *
 * @param calls calls that arrived
 * @param good calls answered whole
 * @param coldExcess calls above what a cold upstream bears
 * @param busyMs time of work on calls, in milliseconds
 * @param wastedMs part of it spent on calls not answered whole, in milliseconds
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
     * Returns the share of the work that was not part of an answered request, for pipelines of one
     * stage: work on calls not answered whole, and whole answers that no request was answered with.
     */
    double wastedShare(long answered) {
        double goodMs = (busyMs - wastedMs) / Math.max(1, good);
        double unusedMs = Math.max(0, good - answered) * goodMs;
        return busyMs == 0 ? 0 : (wastedMs + unusedMs) / busyMs;
    }
}
