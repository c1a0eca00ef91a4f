package org.boragethread.wire.http;

/**
 * Failure of a call before its response was complete.
 *
 * @param kind kind of failure
 * @param maybeSent whether any part of the request may have been sent
 * @param detail description for logs
 */
public record CallFailure(Kind kind, boolean maybeSent, String detail) {

    /** Kind of failure. */
    public enum Kind {
        /** The machine of the peer responded that no process listens at the address. */
        REFUSED,
        /** No connection could be established, for another reason. */
        CONNECT,
        /** The connection was closed before the response was complete. */
        BROKEN,
        /** The peer sent something other than valid HTTP, or responses to other requests. */
        PROTOCOL,
        /** The listener threw while it handled a part of the response. */
        LISTENER
    }
}
