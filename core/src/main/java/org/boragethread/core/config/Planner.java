package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.ObjectRef;
import org.boragethread.model.config.Plan;
import org.boragethread.model.config.PlanEffects;
import org.boragethread.model.config.PlanId;
import org.boragethread.model.config.TouchedObject;

/** Creates plans from intents, without changing any state. */
public final class Planner {

    private static final PlanId NO_DIGEST = new PlanId("0".repeat(64));

    private final CapacityView mCapacity;

    /**
     * Creates a planner that reports the effect of plans on the capacity of the given upstreams.
     */
    public Planner(CapacityView capacity) {
        mCapacity = Objects.requireNonNull(capacity, "capacity");
    }

    /**
     * Returns the plan for an intent. A plan that leaves a stage without capacity is marked as such
     * and can be confirmed only if its intent sets {@code force}.
     */
    public Either<ConfigError, Plan> plan(Intent intent, Configuration configuration) {
        List<Change> changes = intent.changes();
        Optional<ConfigError> error = ChangeRules.check(changes, configuration);
        if (error.isPresent()) {
            return Either.left(error.get());
        }
        Configuration after =
                ChangeRules.apply(changes, configuration, configuration.revision()).build();
        PlanEffects effects = CapacityImpact.effects(mCapacity.upstreams(), configuration, after);
        List<String> steps =
                changes.stream().map(c -> StepDescription.of(c, configuration)).toList();
        Plan plan = createPlan(NO_DIGEST, intent, configuration, steps, effects);
        return checkSize(
                createPlan(ConfigCodec.digestOf(plan), intent, configuration, steps, effects));
    }

    private static Either<ConfigError, Plan> checkSize(Plan plan) {
        int size = ConfigCodec.writeRecord(new ConfigRecord.Confirmation(plan)).length;
        if (size <= PlatformLog.MAX_RECORD_BYTES) {
            return Either.right(plan);
        }
        return Either.left(
                new ConfigError(
                        ConfigError.Kind.INVALID,
                        "the plan for intent \"%s\" has %d bytes; a log record holds at most %d"
                                .formatted(
                                        plan.intent().id(), size, PlatformLog.MAX_RECORD_BYTES)));
    }

    private static Plan createPlan(
            PlanId id,
            Intent intent,
            Configuration configuration,
            List<String> steps,
            PlanEffects effects) {
        return new Plan(
                id,
                configuration.revision(),
                intent,
                touched(intent, configuration),
                steps,
                effects);
    }

    private static List<TouchedObject> touched(Intent intent, Configuration configuration) {
        return ConfigStateMachine.requiredRefs(intent).stream()
                .sorted(Comparator.comparing(ObjectRef::kind).thenComparing(ObjectRef::name))
                .map(r -> new TouchedObject(r, configuration.revisionOf(r)))
                .toList();
    }
}
