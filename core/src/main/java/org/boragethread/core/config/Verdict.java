package org.boragethread.core.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.boragethread.model.config.PlanDecision;
import org.boragethread.model.config.PlanId;

/** What the fold made of one record. */
public sealed interface Verdict {

    /** Returns the offset of the record. */
    long offset();

    /** Returns the plan that the record confirms, if it confirms one. */
    Optional<PlanId> plan();

    /** Tells whether the record changed the state, so that deltas must contain it. */
    boolean changesState();

    /**
     * The plan took effect.
     *
     * @param offset offset of the record, which is the new revision
     * @param id the plan
     */
    record Accepted(long offset, PlanId id) implements Verdict {

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
     * The plan took no effect because objects had changed since it was made.
     *
     * @param offset offset of the record
     * @param id the plan
     * @param changed the objects that had changed
     */
    record Conflict(long offset, PlanId id, List<ObjectConflict> changed) implements Verdict {

        public Conflict {
            Objects.requireNonNull(id, "id");
            changed = List.copyOf(changed);
        }

        @Override
        public Optional<PlanId> plan() {
            return Optional.of(id);
        }

        @Override
        public boolean changesState() {
            return true;
        }

        /** Returns which objects changed. */
        public String detail() {
            return changed.stream().map(ObjectConflict::message).collect(Collectors.joining("; "));
        }
    }

    /**
     * The plan had been decided by an earlier record.
     *
     * @param offset offset of the record
     * @param first the earlier decision
     */
    record Duplicate(long offset, PlanDecision first) implements Verdict {

        public Duplicate {
            Objects.requireNonNull(first, "first");
        }

        @Override
        public Optional<PlanId> plan() {
            return Optional.of(first.plan());
        }

        @Override
        public boolean changesState() {
            return false;
        }
    }

    /**
     * The record cannot take effect.
     *
     * @param offset offset of the record
     * @param plan the plan, if the record could be read
     * @param error what is wrong
     * @param changesState whether the plan is remembered as refused, because it might fit later
     */
    record Invalid(long offset, Optional<PlanId> plan, ConfigError error, boolean changesState)
            implements Verdict {

        public Invalid {
            Objects.requireNonNull(plan, "plan");
            Objects.requireNonNull(error, "error");
        }
    }

    /**
     * The record holds a part of a snapshot and has no effect on a state that is past it.
     *
     * @param offset offset of the record
     * @param timeMillis wall-clock time of the append, in milliseconds since 1970
     * @param part the part
     */
    record Snapshot(long offset, long timeMillis, ConfigSnapshot part) implements Verdict {

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
