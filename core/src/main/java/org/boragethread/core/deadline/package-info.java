/** Observes how long work takes and refuses work that cannot end in time. */
package org.boragethread.core.deadline;
