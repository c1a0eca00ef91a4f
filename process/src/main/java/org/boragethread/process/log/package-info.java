/** Structured logs with one line per event and a limited rate. */
package org.boragethread.process.log;
