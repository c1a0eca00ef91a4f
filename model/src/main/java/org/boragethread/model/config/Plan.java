package org.boragethread.model.config;

import java.util.List;
import java.util.Objects;

/**
 * The answer to an intent. It holds all that an entry needs to confirm it.
 *
 * @param id digest of all other components
 * @param baseRevision revision of the configuration that the plan was made from
 * @param intent the intent
 * @param touched objects that must still have the stated revision when the plan is accepted
 * @param steps what will change, one sentence each
 * @param effects what the changes do to the service
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

    /** Tells whether the plan leaves a stage without capacity and its intent does not allow it. */
    public boolean lacksForce() {
        return effects.needsForce() && !intent.force();
    }
}
