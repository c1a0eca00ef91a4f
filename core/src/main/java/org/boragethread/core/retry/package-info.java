/** Policies and budgets for retrying, hedging and resuming calls. */
package org.boragethread.core.retry;
