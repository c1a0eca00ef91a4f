package org.boragethread.core.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.boragethread.core.member.PartitionLease;

/**
 * This process's share of the rates of calls that upstreams accept from all processes together.
 *
 * <p>A rate is divided into units: each allows one call in a window that is long enough for all
 * units together to make up the rate. The units belong to partitions of the members' group, so the
 * sum over all processes is kept whatever happens to them.
 */
public final class RateLimitShare {

    /** Units even of the lowest rate, so that several processes can use it. */
    private static final int MIN_UNITS = 5;

    /**
     * Shortest window in seconds. Calls that were sent within it may arrive within less, so it is
     * longer than the span over which upstreams count.
     */
    private static final double MIN_WINDOW_SECONDS = 5;

    /** Lower rates count as this one; otherwise nobody would notice that a limit has ended. */
    private static final double MIN_RATE = 1.0 / 60;

    private static final double MAX_RATE = 1e8;

    private final PartitionLease mLease;
    private final Duration mConfirmInterval;

    /**
     * Creates the share of the process that holds the given lease.
     *
     * @param confirmInterval time without a call after which an upstream is asked again whether its
     *     limit holds
     */
    public RateLimitShare(PartitionLease lease, Duration confirmInterval) {
        mLease = lease;
        mConfirmInterval = confirmInterval;
    }

    /**
     * Returns whether the next request should go to an upstream so that its response tells whether
     * its limit still holds. Only processes with a share of the limit can find that out.
     */
    public boolean isConfirmationDue(UpstreamNode node, long now) {
        return node.namedRateLimit().isUnconfirmedSince(now - mConfirmInterval.toNanos())
                && isCallAllowed(node, now);
    }

    /** Returns whether the limit that an upstream names, if any, allows one more call now. */
    public boolean isCallAllowed(UpstreamNode node, long now) {
        Optional<CallAllowance> allowance = allowance(node);
        return allowance.isEmpty()
                || node.namedRateLimit()
                        .nextCallAt(allowance.get(), now)
                        .filter(at -> at <= now)
                        .isPresent();
    }

    /**
     * Returns the monotonic time from which on the limit of an upstream allows one more call; empty
     * if this process has no share of it.
     */
    public Optional<Long> nextCallAt(UpstreamNode node, long now) {
        Optional<CallAllowance> allowance = allowance(node);
        return allowance.isEmpty()
                ? Optional.of(now)
                : node.namedRateLimit().nextCallAt(allowance.get(), now);
    }

    /** Returns what this process may send; empty if the upstream names no limit. */
    public Optional<CallAllowance> allowance(UpstreamNode node) {
        OptionalDouble named = node.namedRateLimit().perSecond();
        if (named.isEmpty()) {
            return Optional.empty();
        }
        double rate = Math.max(MIN_RATE, Math.min(MAX_RATE, named.getAsDouble()));
        int units = Math.max(MIN_UNITS, (int) Math.ceil(rate * MIN_WINDOW_SECONDS));
        Duration window = Duration.ofNanos((long) (units / rate * 1e9));
        int share = mLease.units("rate/" + node.entry().id().value(), units, window);
        return Optional.of(new CallAllowance(share, window));
    }
}
