package org.boragethread.standins.proxy;

import java.util.Objects;

/**
 * Faults of both directions of a connection.
 *
 * @param toTarget fault of the bytes that the client sends
 * @param toClient fault of the bytes that the target sends
 */
public record LinkFaults(Fault toTarget, Fault toClient) {

    /** No fault in either direction. */
    public static final LinkFaults NONE = new LinkFaults(Faults.none(), Faults.none());

    public LinkFaults {
        Objects.requireNonNull(toTarget, "toTarget");
        Objects.requireNonNull(toClient, "toClient");
    }

    /** Returns the same fault in both directions. */
    public static LinkFaults both(Fault fault) {
        return new LinkFaults(fault, fault);
    }
}
