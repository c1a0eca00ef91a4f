/** The routing configuration of requests. */
package org.boragethread.core.routing;
