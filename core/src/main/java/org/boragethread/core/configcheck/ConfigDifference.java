package org.boragethread.core.configcheck;

import java.util.Optional;

/**
 * A difference between two routing configurations.
 *
 * @param kind what happens to the object
 * @param object the object, such as a route
 * @param field the field that is changed; empty if the whole object is added or removed
 * @param before earlier value; empty if there is none
 * @param after later value; empty if there is none
 */
public record ConfigDifference(
        Kind kind, String object, Optional<Place> field, String before, String after) {

    /** What happens to an object. */
    public enum Kind {
        ADDED,
        REMOVED,
        CHANGED
    }
}
