/** Processing of calls: admission, the request to the upstream, and the response. */
package org.boragethread.agent.call;
