/** Connections to upstreams as the coordination logic sees them. */
package org.boragethread.core.dispatch;
