/** The sub-commands of the agent. */
package org.boragethread.agent.command;
