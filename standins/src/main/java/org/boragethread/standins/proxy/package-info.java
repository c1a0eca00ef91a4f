/** A TCP proxy that damages what passes through it, on command. */
package org.boragethread.standins.proxy;
