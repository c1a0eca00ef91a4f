package org.boragethread.core.config;

import java.util.Objects;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.ObjectRef;

/**
 * An object that changed, or may have changed, between a plan and its confirmation.
 *
 * @param ref the object
 * @param plannedRevision its revision when the plan was made
 * @param actualRevision its current revision
 */
public record ObjectConflict(ObjectRef ref, long plannedRevision, long actualRevision) {

    public ObjectConflict {
        Objects.requireNonNull(ref, "ref");
    }

    /** Returns a description of the conflict. */
    public String message() {
        if (ref.equals(ObjectRef.CAPACITY)) {
            return "another object was taken out of service at revision %d"
                    .formatted(actualRevision);
        }
        if (plannedRevision == actualRevision) {
            return "%s may have been added and removed after the plan was made".formatted(ref);
        }
        if (actualRevision == Configuration.NO_REVISION) {
            return "%s was removed after the plan was made".formatted(ref);
        }
        if (plannedRevision == Configuration.NO_REVISION) {
            return "%s was added at revision %d after the plan was made"
                    .formatted(ref, actualRevision);
        }
        return "%s changed at revision %d, but the plan was made for revision %d"
                .formatted(ref, actualRevision, plannedRevision);
    }
}
