/** Metrics of the decisions about requests, calls and claims. */
package org.boragethread.core.metrics;
