/** The agent process, which is the only gate in front of one upstream. */
package org.boragethread.agent;
