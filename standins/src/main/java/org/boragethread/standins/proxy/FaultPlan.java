package org.boragethread.standins.proxy;

import java.util.SplittableRandom;

/** Chooses the faults of each new connection. */
@FunctionalInterface
public interface FaultPlan {

    /** Returns the faults of the next connection; the random numbers come from the proxy's seed. */
    LinkFaults next(SplittableRandom random);

    /** Gives every connection the same faults. */
    static FaultPlan always(LinkFaults faults) {
        return random -> faults;
    }
}
