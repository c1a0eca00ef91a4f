package org.boragethread.model.config;

import java.util.List;
import java.util.Objects;

/**
 * The plan made for an intent. It contains everything that an entry needs to confirm it.
 *
 * @param id digest of all other components
 * @param baseRevision revision of the configuration that the plan was made from
 * @param intent the intent
 * @param touched objects that must still have the given revision when the plan is confirmed
 * @param steps planned changes, one sentence each
 * @param effects effects of the changes on the service
 */
public record Plan(
        PlanId id,
        long baseRevision,
        Intent intent,
        List<TouchedObject> touched,
        List<String> steps,
        PlanEffects effects) {

    public Plan {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(intent, "intent");
        Objects.requireNonNull(effects, "effects");
        touched = List.copyOf(touched);
        steps = List.copyOf(steps);
    }

    /**
     * Returns whether the plan leaves a stage without capacity and its intent does not set force.
     */
    public boolean lacksForce() {
        return effects.needsForce() && !intent.force();
    }
}
