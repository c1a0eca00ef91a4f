/** The upstreams that entries call directly: what is known of each, and which one is chosen. */
package org.boragethread.core.upstream;
