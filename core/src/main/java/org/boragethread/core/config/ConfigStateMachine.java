package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.ObjectRef;
import org.boragethread.model.config.Plan;
import org.boragethread.model.config.PlanDecision;
import org.boragethread.model.config.TouchedObject;

/**
 * Deterministic state machine that is replicated through the configuration stream. The next
 * configuration depends only on the current one and the record, so processes that have read the
 * same prefix of the stream have the same configuration.
 */
public final class ConfigStateMachine {

    private ConfigStateMachine() {}

    /**
     * Applies one record.
     *
     * @throws IllegalArgumentException if the record has already been applied to the configuration
     */
    public static ApplyResult apply(Configuration configuration, LogRecord record) {
        if (record.offset() <= configuration.revision()) {
            throw new IllegalArgumentException(
                    "record %d has already been applied at revision %d: skip it"
                            .formatted(record.offset(), configuration.revision()));
        }
        Either<ConfigError, ConfigRecord> read = ConfigCodec.readRecord(record.data());
        if (read.isLeft()) {
            return invalid(configuration, record.offset(), Optional.empty(), read.getLeft());
        }
        if (read.get() instanceof ConfigRecord.SnapshotPart s) {
            return unchanged(
                    configuration,
                    new RecordOutcome.Snapshot(record.offset(), record.timeMillis(), s.part()));
        }
        return confirm(
                configuration, ((ConfigRecord.Confirmation) read.get()).plan(), record.offset());
    }

    private static ApplyResult confirm(Configuration before, Plan plan, long offset) {
        Optional<PlanDecision> decided = before.decision(plan.id());
        if (decided.isPresent()) {
            return unchanged(before, new RecordOutcome.Duplicate(offset, decided.get()));
        }
        Optional<ConfigError> error = checkPlan(plan, before);
        if (error.isPresent()) {
            return invalid(before, offset, Optional.of(plan), error.get());
        }
        List<ObjectConflict> conflicts = conflicts(before, plan);
        if (!conflicts.isEmpty()) {
            return new ApplyResult(
                    decide(before.toBuilder(), plan, offset, false),
                    new RecordOutcome.Conflict(offset, plan.id(), conflicts));
        }
        List<Change> changes = plan.intent().changes();
        Optional<ConfigError> invalidChange = ChangeRules.check(changes, before);
        if (invalidChange.isPresent()) {
            return new ApplyResult(
                    decide(before.toBuilder(), plan, offset, false),
                    new RecordOutcome.Invalid(
                            offset, Optional.of(plan.id()), invalidChange.get(), true));
        }
        return new ApplyResult(
                decide(ChangeRules.apply(changes, before, offset), plan, offset, true),
                new RecordOutcome.Accepted(offset, plan.id()));
    }

    /** Returns why a plan can no longer be accepted, whatever changes later; empty if it can. */
    static Optional<ConfigError> checkPlan(Plan plan, Configuration configuration) {
        if (plan.baseRevision() < configuration.forgottenThrough()) {
            return error(
                    ConfigError.Kind.PLAN_EXPIRED,
                    "the plan was made at revision %d, but decisions up to %d are no longer kept"
                            .formatted(plan.baseRevision(), configuration.forgottenThrough()));
        }
        if (plan.lacksForce()) {
            return error(
                    ConfigError.Kind.NEEDS_FORCE, String.join("; ", plan.effects().warnings()));
        }
        Set<ObjectRef> missingRefs = requiredRefs(plan.intent());
        plan.touched().forEach(t -> missingRefs.remove(t.ref()));
        if (!missingRefs.isEmpty()) {
            return error(
                    ConfigError.Kind.INVALID,
                    "the plan has no revision for %s".formatted(missingRefs));
        }
        return Optional.empty();
    }

    /** Returns the objects whose revisions the plan for an intent must contain. */
    static Set<ObjectRef> requiredRefs(Intent intent) {
        Set<ObjectRef> refs = new HashSet<>();
        intent.changes().forEach(c -> refs.add(c.ref()));
        if (intent.takesOutOfService() && !intent.force()) {
            refs.add(ObjectRef.CAPACITY);
        }
        return refs;
    }

    /**
     * Returns the touched objects whose revision differs from the one in the plan. An object that
     * the plan expects to be absent also conflicts if any object of its kind was removed after the
     * plan was made, because removals are remembered per kind and it may be the removed one.
     */
    static List<ObjectConflict> conflicts(Configuration configuration, Plan plan) {
        List<ObjectConflict> result = new ArrayList<>();
        for (TouchedObject touched : plan.touched()) {
            long actual = configuration.revisionOf(touched.ref());
            boolean changed = actual != touched.revision();
            if (changed || mayHaveBeenRemoved(configuration, plan, touched)) {
                result.add(new ObjectConflict(touched.ref(), touched.revision(), actual));
            }
        }
        return result;
    }

    private static boolean mayHaveBeenRemoved(
            Configuration configuration, Plan plan, TouchedObject touched) {
        return touched.revision() == Configuration.NO_REVISION
                && plan.baseRevision() < configuration.lastRemoval(touched.ref().kind());
    }

    private static Configuration decide(
            Configuration.Builder builder, Plan plan, long offset, boolean accepted) {
        return builder.putDecision(new PlanDecision(plan.id(), offset, accepted))
                .revision(offset)
                .build();
    }

    private static ApplyResult invalid(
            Configuration before, long offset, Optional<Plan> plan, ConfigError error) {
        return unchanged(
                before, new RecordOutcome.Invalid(offset, plan.map(Plan::id), error, false));
    }

    private static ApplyResult unchanged(Configuration before, RecordOutcome outcome) {
        return new ApplyResult(before.toBuilder().revision(outcome.offset()).build(), outcome);
    }

    private static Optional<ConfigError> error(ConfigError.Kind kind, String detail) {
        return Optional.of(new ConfigError(kind, detail));
    }
}
