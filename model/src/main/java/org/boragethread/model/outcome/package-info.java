/** Identifiers of requests and attempts, and refusals. */
package org.boragethread.model.outcome;
