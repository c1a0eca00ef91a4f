package org.boragethread.standins.http;

/** A request that the stand-in cannot understand; answered with status 400. */
public final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Makes an exception that names what is wrong with the request. */
    public BadRequestException(String message, Throwable cause) {
        super(cause == null ? message : message + ": " + cause.getMessage(), cause);
    }
}
