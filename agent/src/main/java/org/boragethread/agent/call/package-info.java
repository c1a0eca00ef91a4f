/** Runs calls: admission, the upstream, and the answer. */
package org.boragethread.agent.call;
