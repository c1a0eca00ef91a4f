/**
 * Stand-ins for the platform and for upstreams, and a fault-injecting proxy. Used only by tests,
 * benchmarks and the demonstration.
 */
package org.boragethread.standins;
