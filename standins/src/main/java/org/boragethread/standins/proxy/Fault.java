package org.boragethread.standins.proxy;

/** A kind of damage to one direction of a connection. */
@FunctionalInterface
public interface Fault {

    /** Returns the state of this fault for one direction of one connection. */
    Flow open();
}
