/** Settings of an agent. */
package org.boragethread.agent.settings;
