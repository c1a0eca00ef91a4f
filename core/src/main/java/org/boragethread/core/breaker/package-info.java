/** Stops calls to an upstream that keeps failing. */
package org.boragethread.core.breaker;
