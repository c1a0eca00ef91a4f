/** Which route a request takes, and whether its caller may take it. */
package org.boragethread.core.routing;
