/** The state of the upstreams that entries call directly, and the choice among them. */
package org.boragethread.core.upstream;
