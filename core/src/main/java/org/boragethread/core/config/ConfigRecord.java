package org.boragethread.core.config;

import java.util.Objects;
import org.boragethread.model.config.Plan;

/** What a record of the configuration stream says. */
public sealed interface ConfigRecord {

    /**
     * An operator confirmed a plan.
     *
     * @param plan the plan
     */
    record Confirmation(Plan plan) implements ConfigRecord {

        public Confirmation {
            Objects.requireNonNull(plan, "plan");
        }
    }

    /**
     * One part of a snapshot.
     *
     * @param part the part
     */
    record SnapshotPart(ConfigSnapshot part) implements ConfigRecord {

        public SnapshotPart {
            Objects.requireNonNull(part, "part");
        }
    }
}
