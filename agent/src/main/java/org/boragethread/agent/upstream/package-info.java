/** The agent's HTTP connections to its upstream. */
package org.boragethread.agent.upstream;
