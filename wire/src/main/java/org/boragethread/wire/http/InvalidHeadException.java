package org.boragethread.wire.http;

/**
 * Thrown for a head or trailers that HTTP/1.1 does not allow. Messages hold no bytes of the peer.
 */
final class InvalidHeadException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    InvalidHeadException(String message) {
        super(message);
    }
}
