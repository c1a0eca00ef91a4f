/** Puts the parts of an agent together. */
package org.boragethread.agent.serve;
