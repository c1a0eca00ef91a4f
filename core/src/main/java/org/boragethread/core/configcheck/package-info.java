/** Findings about a routing configuration before it is sent, and what it would change. */
package org.boragethread.core.configcheck;
