package org.boragethread.core.stage;

/**
 * Why the stages of a request were not completed. The request itself has not been sent to any
 * upstream.
 *
 * @param kind kind of failure
 * @param detail the group or peer where it occurred, for logs
 */
public record StageFailure(Kind kind, String detail) {

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
