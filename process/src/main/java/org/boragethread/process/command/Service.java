package org.boragethread.process.command;

/** A process that serves until it is told to stop. */
public interface Service {

    /**
     * Begins to serve.
     *
     * @throws Exception if an address cannot be bound
     */
    void start() throws Exception;

    /** Ends running work within the bounds of the settings, and closes everything. */
    void stop();
}
