package org.boragethread.standins.proxy;

import java.util.SplittableRandom;

/** Selects the faults of each new connection. */
@FunctionalInterface
public interface FaultPlan {

    /** Returns the faults of the next connection; the proxy seeds the random numbers. */
    ConnectionFaults next(SplittableRandom random);

    /** Returns a plan that gives every connection the same faults. */
    static FaultPlan always(ConnectionFaults faults) {
        return random -> faults;
    }
}
