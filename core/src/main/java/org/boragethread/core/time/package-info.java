/** Clocks and timers, real and under the control of tests. */
package org.boragethread.core.time;
