package org.boragethread.standins.http;

/** Handles HTTP requests. Handlers must not block; they may respond later from another thread. */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Handles a request whose body has been received completely.
     *
     * @throws BadRequestException if the request is invalid
     */
    void handle(Exchange exchange);
}
