/** Counters and gauges of the decisions. */
package org.boragethread.core.metrics;
