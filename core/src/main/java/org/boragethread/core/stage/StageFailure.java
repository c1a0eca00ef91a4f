package org.boragethread.core.stage;

import java.time.Duration;
import java.util.Optional;

/**
 * Why the stages of a request were not completed. The request itself has not been sent to any
 * upstream.
 *
 * @param kind kind of failure
 * @param detail the group or peer where it occurred, for logs
 * @param delay expected time until the group has capacity, if it was refused for lack of it
 */
public record StageFailure(Kind kind, String detail, Optional<Duration> delay) {

    /** Creates a failure for another reason than lack of capacity. */
    public StageFailure(Kind kind, String detail) {
        this(kind, detail, Optional.empty());
    }

    /** Kinds of failures. */
    public enum Kind {
        /** The deadline has passed, or the time left is too short. */
        DEADLINE,
        /** No upstream of the group may be called. */
        NO_UPSTREAM,
        /** Too many attempts failed. */
        FAILED,
        /** A result of an earlier stage was lost. */
        INPUT_MISSING
    }
}
