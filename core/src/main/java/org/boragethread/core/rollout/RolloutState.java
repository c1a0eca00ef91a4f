package org.boragethread.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * State of the latest order of a group, as recorded in {@code rollout-state/SERVICE}.
 *
 * @param order the order
 * @param phase its phase
 * @param revision number of the state; increases with each state of the group, over all orders
 * @param withdrawn whether the operator removed the request; the same request is a new order then
 * @param rejected versions that earlier orders rolled back, the oldest first; at most {@link
 *     #MAX_REJECTED}
 */
public record RolloutState(
        RolloutOrder order,
        RolloutPhase phase,
        long revision,
        boolean withdrawn,
        List<SoftwareVersion> rejected) {

    /** Upstreams of a rejected version drain within seconds, so that few versions are kept. */
    public static final int MAX_REJECTED = 8;

    public RolloutState {
        rejected = List.copyOf(rejected);
    }

    /** Returns the first state of an order. */
    static RolloutState begin(
            RolloutRequest request, long nowMillis, long revision, List<SoftwareVersion> rejected) {
        return new RolloutState(
                new RolloutOrder(request, nowMillis),
                RolloutPhase.TRIAL,
                revision,
                false,
                rejected);
    }

    /** Returns the next state of the same order. */
    RolloutState next(RolloutPhase phase) {
        return new RolloutState(order, phase, revision + 1, withdrawn, rejected);
    }

    /** Returns the next state of the same order, with the request removed. */
    RolloutState withdraw(RolloutPhase phase) {
        return new RolloutState(order, phase, revision + 1, true, rejected);
    }

    /** Returns the same state with a revision above another one. */
    RolloutState above(long otherRevision) {
        return new RolloutState(
                order, phase, Math.max(revision, otherRevision + 1), withdrawn, rejected);
    }

    /** Returns the versions that are rejected when another version is rolled out next. */
    List<SoftwareVersion> rejectedBefore(SoftwareVersion nextTarget) {
        List<SoftwareVersion> versions = new ArrayList<>(rejected);
        versions.remove(target());
        if (phase == RolloutPhase.ROLLED_BACK) {
            versions.add(target());
        }
        versions.remove(nextTarget);
        int first = Math.max(0, versions.size() - MAX_REJECTED);
        return versions.subList(first, versions.size());
    }

    public SoftwareVersion target() {
        return order.request().target();
    }

    /** Returns whether the state is the one of a request that has not been removed since. */
    public boolean isOf(RolloutRequest request) {
        return !withdrawn && order.request().equals(request);
    }

    /** Returns whether another state of the same order says the same, under whatever revision. */
    public boolean isRepeatedBy(RolloutState other) {
        return order.equals(other.order) && phase == other.phase && withdrawn == other.withdrawn;
    }

    /**
     * Returns whether this is the one to keep of two different ends of an order, which were
     * recorded before and after the store was restored. Revisions may be equal, since both count
     * from the same copy; the version that was rolled back by one of them is not used then.
     */
    boolean prevailsOver(RolloutState other) {
        if (!order.equals(other.order)
                || !phase.isEnded()
                || !other.phase.isEnded()
                || phase == other.phase) {
            return false;
        }
        return revision > other.revision
                || revision == other.revision && phase == RolloutPhase.ROLLED_BACK;
    }

    /**
     * Returns whether a later order has ended, and this one is not asked for: the store that has
     * this state was restored from an older copy.
     */
    boolean isOutdatedBy(RolloutState known, Optional<RolloutRequest> request) {
        return known.phase().isEnded()
                && known.revision() > revision
                && known.order().startedMillis() > order.startedMillis()
                && request.filter(this::isOf).isEmpty();
    }
}
