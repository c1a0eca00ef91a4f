package org.boragethread.core.stage;

/**
 * Why a call that was to make pieces has no answer.
 *
 * @param kind what is known of the call
 * @param detail what happened, for logs
 */
public record BatchFailure(Kind kind, String detail) {

    /** What is known of a failed call. */
    public enum Kind {
        /** The upstream had no room and did not work on it. */
        REJECTED,
        /** Another process has the upstream's address. */
        MISDIRECTED,
        /** The upstream could not be reached. */
        UNREACHABLE,
        /** The connection broke, or no answer came in time. */
        BROKEN
    }
}
