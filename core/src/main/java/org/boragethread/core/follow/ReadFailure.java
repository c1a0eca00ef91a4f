package org.boragethread.core.follow;

/**
 * Why a read of the store failed.
 *
 * @param trimmed whether the store no longer has the records, so that the newest ones must be read
 * @param detail what happened, for logs
 */
public record ReadFailure(boolean trimmed, String detail) {

    /** The store did not answer, or turned the call away. */
    public static ReadFailure unreachable(String detail) {
        return new ReadFailure(false, detail);
    }

    /** The store no longer has the records. */
    public static ReadFailure trimmed(String detail) {
        return new ReadFailure(true, detail);
    }
}
