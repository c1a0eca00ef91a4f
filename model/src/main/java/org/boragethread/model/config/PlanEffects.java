package org.boragethread.model.config;

import java.util.List;

/**
 * Effects of a plan on the service.
 *
 * @param capacity groups whose capacity changes
 * @param warnings warnings for the operator, one sentence each
 * @param needsForce whether a stage is left without capacity, so that the intent must set force
 */
public record PlanEffects(
        List<CapacityEffect> capacity, List<String> warnings, boolean needsForce) {

    public PlanEffects {
        capacity = List.copyOf(capacity);
        warnings = List.copyOf(warnings);
    }
}
