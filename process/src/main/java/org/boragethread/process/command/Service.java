package org.boragethread.process.command;

/** A service that runs until it is stopped. */
public interface Service {

    /**
     * Starts the service.
     *
     * @throws Exception if an address cannot be bound
     */
    void start() throws Exception;

    /** Completes work in progress within the configured time and releases all resources. */
    void stop();
}
