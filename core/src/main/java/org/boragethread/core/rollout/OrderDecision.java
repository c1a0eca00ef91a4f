package org.boragethread.core.rollout;

import java.util.List;
import java.util.Optional;

/** Decides which order a group has, from the recorded state and the request of the operators. */
final class OrderDecision {

    private OrderDecision() {}

    /**
     * Returns the next state if the request differs from the order, or empty if the order stays.
     *
     * @param recorded state that is recorded
     * @param request request of the operators, read later than the state
     */
    static Optional<Proposal> next(
            Optional<RolloutState> recorded, Optional<RolloutRequest> request, long nowMillis) {
        if (recorded.isEmpty()) {
            return request.map(
                    wanted ->
                            new Proposal(
                                    RolloutState.begin(wanted, nowMillis, 1, List.of()),
                                    "first order of the group"));
        }
        RolloutState state = recorded.get();
        if (request.filter(state::isOf).isPresent()) {
            return Optional.empty();
        }
        if (!state.phase().isEnded()) {
            RolloutPhase phase = RolloutPhase.ROLLED_BACK;
            return Optional.of(
                    request.isPresent()
                            ? new Proposal(state.next(phase), "replaced by another order")
                            : new Proposal(state.withdraw(phase), "order removed"));
        }
        if (request.isPresent()) {
            RolloutRequest wanted = request.get();
            RolloutState begun =
                    RolloutState.begin(
                            wanted,
                            nowMillis,
                            state.revision() + 1,
                            state.rejectedBefore(wanted.target()));
            if (state.phase() == RolloutPhase.COMPLETED && state.target().equals(wanted.target())) {
                return Optional.of(
                        new Proposal(
                                begun.next(RolloutPhase.SWITCHING),
                                "the version was rolled out last"));
            }
            return Optional.of(new Proposal(begun, "order after one that has ended"));
        }
        return state.withdrawn()
                ? Optional.empty()
                : Optional.of(
                        new Proposal(state.withdraw(state.phase()), "order removed after its end"));
    }

    /** A state to record and the inputs of the decision. */
    record Proposal(RolloutState state, String reason) {}
}
