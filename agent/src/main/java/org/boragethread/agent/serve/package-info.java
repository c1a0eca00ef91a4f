/** Assembles, starts and stops the agent. */
package org.boragethread.agent.serve;
