/** The sub-commands of the agent program. */
package org.boragethread.agent.command;
