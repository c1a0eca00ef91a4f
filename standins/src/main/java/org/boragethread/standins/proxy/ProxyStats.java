package org.boragethread.standins.proxy;

/**
 * Counters of a proxy since its start.
 *
 * @param accepted connections accepted
 * @param refused connections closed because the target could not be reached
 * @param closed connections that were closed
 * @param closedByFault connections closed or reset by a fault
 * @param bytes bytes received from both sides
 */
public record ProxyStats(
        long accepted, long refused, long closed, long closedByFault, long bytes) {}
