/** A TCP proxy that injects faults into the connections that it relays. */
package org.boragethread.standins.proxy;
