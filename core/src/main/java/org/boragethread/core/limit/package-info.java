/** Concurrency limits: how many calls may be in flight at one upstream. */
package org.boragethread.core.limit;
