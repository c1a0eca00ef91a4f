package org.boragethread.core.rollout;

import java.util.Optional;

/**
 * The newest state of a group that any entry is known to have read. It is newer than the recorded
 * one after the store was restored from an older copy. Not thread-safe.
 */
final class SeenState {

    private Optional<RolloutState> mNewest = Optional.empty();
    private long mHighestRevision;

    void add(RolloutState state) {
        mHighestRevision = Math.max(mHighestRevision, state.revision());
        if (mNewest.filter(known -> !isNewer(state, known)).isEmpty()) {
            mNewest = Optional.of(state);
        }
    }

    Optional<RolloutState> newest() {
        return mNewest;
    }

    /** Returns the highest revision of all states of all orders; 0 if there was none. */
    long highestRevision() {
        return mHighestRevision;
    }

    /** Forgets all states, because the store has another order than the operators ask for. */
    void replace(Optional<RolloutState> state) {
        mNewest = state;
        state.ifPresent(other -> mHighestRevision = Math.max(mHighestRevision, other.revision()));
    }

    private static boolean isNewer(RolloutState state, RolloutState known) {
        boolean isSameOrder = state.order().equals(known.order());
        if (isSameOrder && state.phase().isEnded() != known.phase().isEnded()) {
            return state.phase().isEnded();
        }
        return state.revision() > known.revision() || state.prevailsOver(known);
    }

    /**
     * Returns the state to record again instead of the one that was read, if an entry has seen a
     * newer one of an order that is still to be carried out, or the end of a later order. Of two
     * ends of one order the newer is recorded again, as entries that have read it keep it.
     */
    Optional<RolloutState> lost(Optional<RolloutState> read, Optional<RolloutRequest> request) {
        if (mNewest.isEmpty() || read.isEmpty() || read.equals(mNewest)) {
            return read.isEmpty() ? mNewest : Optional.empty();
        }
        RolloutState newest = mNewest.get();
        RolloutState recorded = read.get();
        if (recorded.isOutdatedBy(newest, request)) {
            return mNewest;
        }
        boolean isSameOrder = newest.order().equals(recorded.order());
        if (!isNewer(newest, recorded)) {
            return Optional.empty();
        }
        if (!isSameOrder && request.filter(newest::isOf).isEmpty()) {
            return Optional.empty();
        }
        return mNewest;
    }
}
