/** Interface through which the core selects upstreams and sends calls to their agents. */
package org.boragethread.core.dispatch;
