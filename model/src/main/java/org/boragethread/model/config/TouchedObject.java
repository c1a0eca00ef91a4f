package org.boragethread.model.config;

import java.util.Objects;

/**
 * An object that a plan writes or depends on.
 *
 * @param ref the object
 * @param revision its revision when the plan was made, or {@link Configuration#NO_REVISION} if it
 *     did not exist
 */
public record TouchedObject(ObjectRef ref, long revision) {

    public TouchedObject {
        Objects.requireNonNull(ref, "ref");
    }
}
