/** Limits the request rate and concurrency of each team at an entry. */
package org.boragethread.core.fairness;
