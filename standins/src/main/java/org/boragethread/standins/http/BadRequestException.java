package org.boragethread.standins.http;

/** Thrown for an invalid request; the stand-in answers it with status 400. */
public final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception; its message says what is wrong with the request. */
    public BadRequestException(String message, Throwable cause) {
        super(cause == null ? message : message + ": " + cause.getMessage(), cause);
    }
}
