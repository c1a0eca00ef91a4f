package org.boragethread.standins.proxy;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of a proxy.
 *
 * @param accepted connections accepted
 * @param refused connections closed because the target could not be reached
 * @param closed connections that were closed
 * @param closedByFault connections closed or reset by a fault
 * @param bytes bytes received from both sides
 */
record ProxyCounters(
        LongAdder accepted,
        LongAdder refused,
        LongAdder closed,
        LongAdder closedByFault,
        LongAdder bytes) {

    ProxyCounters() {
        this(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder());
    }

    ProxyStats snapshot() {
        return new ProxyStats(
                accepted.sum(), refused.sum(), closed.sum(), closedByFault.sum(), bytes.sum());
    }
}
