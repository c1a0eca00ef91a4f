package org.boragethread.core.follow;

/**
 * Why a read of the store failed.
 *
 * @param trimmed whether the store no longer has the records, so that a new snapshot must be read
 * @param detail what happened, for logs
 */
public record ReadFailure(boolean trimmed, String detail) {

    /** Returns a failure because the store did not respond, or rejected the call. */
    public static ReadFailure unreachable(String detail) {
        return new ReadFailure(false, detail);
    }

    /** Returns a failure because the store no longer has the records. */
    public static ReadFailure trimmed(String detail) {
        return new ReadFailure(true, detail);
    }
}
