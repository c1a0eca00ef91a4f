/** Jobs, which are requests whose callers do not wait for the answer. */
package org.boragethread.model.job;
