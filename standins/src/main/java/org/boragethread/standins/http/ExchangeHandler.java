package org.boragethread.standins.http;

/** Serves HTTP calls. Handlers must not block; they may answer later from another thread. */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Takes a call whose whole body has arrived.
     *
     * @throws BadRequestException if the call cannot be understood
     */
    void handle(Exchange exchange);
}
