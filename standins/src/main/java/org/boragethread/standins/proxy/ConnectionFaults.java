package org.boragethread.standins.proxy;

import java.util.Objects;

/**
 * The faults of the two directions of a connection.
 *
 * @param toTarget fault on the bytes from the client to the target
 * @param toClient fault on the bytes from the target to the client
 */
public record ConnectionFaults(Fault toTarget, Fault toClient) {

    /** No faults in either direction. */
    public static final ConnectionFaults NONE = new ConnectionFaults(Faults.none(), Faults.none());

    public ConnectionFaults {
        Objects.requireNonNull(toTarget, "toTarget");
        Objects.requireNonNull(toClient, "toClient");
    }

    /** Returns the same fault in both directions. */
    public static ConnectionFaults both(Fault fault) {
        return new ConnectionFaults(fault, fault);
    }
}
