/** The subcommands of the agent program. */
package org.boragethread.agent.command;
