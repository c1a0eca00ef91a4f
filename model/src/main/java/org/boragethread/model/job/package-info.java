/** Jobs: requests whose callers do not wait for the response. */
package org.boragethread.model.job;
