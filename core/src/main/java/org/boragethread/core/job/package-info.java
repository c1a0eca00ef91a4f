/** Keeps jobs in the platform's log and runs them under leases. */
package org.boragethread.core.job;
