/** Circuit breakers: stop calls to an upstream that keeps failing. */
package org.boragethread.core.breaker;
