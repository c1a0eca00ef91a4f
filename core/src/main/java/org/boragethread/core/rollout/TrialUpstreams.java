package org.boragethread.core.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import org.boragethread.model.upstream.UpstreamId;

/** Selects the upstreams that serve a trial, the same at all entries. */
final class TrialUpstreams {

    private TrialUpstreams() {}

    /**
     * Returns the upstreams by rendezvous hashing. Their number is rounded up: with fewer, each
     * would have more load than an old one, and would seem slow.
     *
     * @param target upstreams of the target version
     * @param oldCount number of upstreams of other versions
     * @param share greatest share of requests in a trial
     */
    static Set<UpstreamId> select(
            RolloutOrder order, Collection<UpstreamId> target, int oldCount, double share) {
        long count = Math.max(1, (long) Math.ceil(share * oldCount));
        return target.stream()
                .sorted(
                        Comparator.comparingLong((UpstreamId upstream) -> weight(order, upstream))
                                .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long weight(RolloutOrder order, UpstreamId upstream) {
        return Hashing.komihash5_0()
                .hashCharsToLong(
                        order.request().target().value()
                                + '/'
                                + order.startedMillis()
                                + '/'
                                + upstream.value());
    }
}
