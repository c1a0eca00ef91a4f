/** Clocks and timers, both real ones and ones that tests control. */
package org.boragethread.core.time;
