/** Observes service times and refuses requests that cannot meet their deadlines. */
package org.boragethread.core.deadline;
