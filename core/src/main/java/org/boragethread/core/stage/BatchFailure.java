package org.boragethread.core.stage;

/**
 * Why a batch call to an upstream failed.
 *
 * @param kind what is known of the call
 * @param detail what happened, for logs
 */
public record BatchFailure(Kind kind, String detail) {

    /** What is known of a failed call. */
    public enum Kind {
        /** The upstream's queue was full; it did not start the work. */
        REJECTED,
        /** Another process listens at the upstream's address. */
        MISDIRECTED,
        /** No connection to the upstream could be established. */
        UNREACHABLE,
        /** The connection was lost, or the response was late or not valid. */
        BROKEN
    }
}
