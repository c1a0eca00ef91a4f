package org.boragethread.model.config;

import java.util.Objects;

/**
 * The decision on a confirmed plan.
 *
 * @param plan the plan
 * @param offset log offset of the confirmation that decided it
 * @param accepted whether the plan took effect; it is rejected if a touched object had changed
 */
public record PlanDecision(PlanId plan, long offset, boolean accepted) {

    public PlanDecision {
        Objects.requireNonNull(plan, "plan");
    }
}
