/** Decides when a call is tried again, hedged or resumed, and at what cost. */
package org.boragethread.core.retry;
