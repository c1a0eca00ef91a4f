package org.boragethread.entry.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.boragethread.core.upstream.UpstreamNode;

/**
 * Decides whether a request is sent to the engine that a coordinator has selected. A roll-out may
 * have begun since the coordinator was asked.
 *
 * @param isCallable whether the engine may get the request now
 * @param count counts the send for a roll-out, and returns whether the request may be sent
 * @param isRolloutRunning whether an order for the group has not ended
 */
record PlacedEngineCheck(
        Predicate<UpstreamNode> isCallable,
        Predicate<UpstreamNode> count,
        BooleanSupplier isRolloutRunning) {

    /** Number of engines that this process may reject before it selects one by itself. */
    private static final int MAX_REJECTED = 2;

    /**
     * Returns the engine if the request is sent there; the send is counted then.
     *
     * @param known the engine; empty if this process does not know it
     */
    Optional<UpstreamNode> accept(Optional<UpstreamNode> known) {
        return known.filter(isCallable).filter(count);
    }

    /**
     * Returns whether the coordinator is asked for another engine. During a roll-out this process
     * selects by itself, since it limits what it sends to each version.
     *
     * @param rejected number of engines that this process has rejected
     */
    boolean isAskedAgain(int rejected) {
        return rejected <= MAX_REJECTED && !isRolloutRunning.getAsBoolean();
    }
}
