package org.boragethread.core.stage;

/**
 * Why the stages of a request were not completed. The request itself has not been sent anywhere.
 *
 * @param kind what went wrong
 * @param detail where, for logs
 */
public record StageFailure(Kind kind, String detail) {

    /** What went wrong. */
    public enum Kind {
        /** The remaining time does not suffice. */
        DEADLINE,
        /** No upstream of the group may be called. */
        NO_UPSTREAM,
        /** Calls failed more often than the retry budget or the number of tries allows. */
        FAILED,
        /** A result of an earlier stage was lost. */
        INPUT_MISSING
    }
}
