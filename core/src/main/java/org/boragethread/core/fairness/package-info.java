/**
 * Limits the request rate and concurrency of each team at an entry, and divides work evenly among
 * teams.
 */
package org.boragethread.core.fairness;
