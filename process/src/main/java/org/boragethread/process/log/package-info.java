/** Structured logs: one line an event, bounded in volume. */
package org.boragethread.process.log;
