/** The agent process, which controls the admission of all calls to one upstream. */
package org.boragethread.agent;
