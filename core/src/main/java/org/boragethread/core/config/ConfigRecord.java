package org.boragethread.core.config;

import java.util.Objects;
import org.boragethread.model.config.Plan;

/** Content of a record of the configuration stream. */
public sealed interface ConfigRecord {

    /**
     * An operator's confirmation of a plan.
     *
     * @param plan the confirmed plan
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
    record SnapshotPart(ConfigSnapshotPart part) implements ConfigRecord {

        public SnapshotPart {
            Objects.requireNonNull(part, "part");
        }
    }
}
