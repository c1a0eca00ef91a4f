/** Durable jobs, stored in the platform's log and run under leases. */
package org.boragethread.core.job;
