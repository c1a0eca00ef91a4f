package org.boragethread.core.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.boragethread.model.config.PlanDecision;
import org.boragethread.model.config.PlanId;

/**
 * Outcome of applying one record to the configuration. The simple names of the implementing
 * classes, in lower case, are values of a metric tag; see {@link ConfigMeters}.
 */
public sealed interface RecordOutcome {

    /** Returns the offset of the record. */
    long offset();

    /** Returns the plan that the record confirms, if it confirms one. */
    Optional<PlanId> plan();

    /** Returns whether the record changed the configuration, so that deltas must include it. */
    boolean changesState();

    /**
     * The plan took effect.
     *
     * @param offset offset of the record, which is the new revision
     * @param id the plan
     */
    record Accepted(long offset, PlanId id) implements RecordOutcome {

        public Accepted {
            Objects.requireNonNull(id, "id");
        }

        @Override
        public Optional<PlanId> plan() {
            return Optional.of(id);
        }

        @Override
        public boolean changesState() {
            return true;
        }
    }

    /**
     * The plan did not take effect because objects had changed since it was made.
     *
     * @param offset offset of the record
     * @param id the plan
     * @param conflicts the objects that had changed
     */
    record Conflict(long offset, PlanId id, List<ObjectConflict> conflicts)
            implements RecordOutcome {

        public Conflict {
            Objects.requireNonNull(id, "id");
            conflicts = List.copyOf(conflicts);
        }

        @Override
        public Optional<PlanId> plan() {
            return Optional.of(id);
        }

        @Override
        public boolean changesState() {
            return true;
        }

        /** Returns a description of the changed objects. */
        public String detail() {
            return conflicts.stream()
                    .map(ObjectConflict::message)
                    .collect(Collectors.joining("; "));
        }
    }

    /**
     * The plan has already been decided by an earlier record.
     *
     * @param offset offset of the record
     * @param firstDecision the earlier decision
     */
    record Duplicate(long offset, PlanDecision firstDecision) implements RecordOutcome {

        public Duplicate {
            Objects.requireNonNull(firstDecision, "firstDecision");
        }

        @Override
        public Optional<PlanId> plan() {
            return Optional.of(firstDecision.plan());
        }

        @Override
        public boolean changesState() {
            return false;
        }
    }

    /**
     * The record is invalid and did not take effect.
     *
     * @param offset offset of the record
     * @param plan the plan, if the record could be read
     * @param error why the record is invalid
     * @param changesState whether the rejection is stored as a decision, because the plan might
     *     become valid later
     */
    record Invalid(long offset, Optional<PlanId> plan, ConfigError error, boolean changesState)
            implements RecordOutcome {

        public Invalid {
            Objects.requireNonNull(plan, "plan");
            Objects.requireNonNull(error, "error");
        }
    }

    /**
     * The record contains a part of a snapshot, which does not change a configuration that is
     * already past the snapshot's revision.
     *
     * @param offset offset of the record
     * @param timeMillis wall-clock time of the append, in milliseconds since 1970
     * @param part the part
     */
    record Snapshot(long offset, long timeMillis, ConfigSnapshotPart part)
            implements RecordOutcome {

        public Snapshot {
            Objects.requireNonNull(part, "part");
        }

        @Override
        public Optional<PlanId> plan() {
            return Optional.empty();
        }

        @Override
        public boolean changesState() {
            return false;
        }
    }
}
