package org.boragethread.standins.proxy;

/** A fault that can be injected into one direction of a connection. */
@FunctionalInterface
public interface Fault {

    /** Creates the stateful filter that applies this fault to one direction of one connection. */
    FaultFilter newFilter();
}
