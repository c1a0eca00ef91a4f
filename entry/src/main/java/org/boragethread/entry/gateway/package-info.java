/**
 * The gateway: forwards callers' requests to upstreams by configured routes. The entry calls these
 * upstreams directly, and requests and responses pass through unchanged. Everything runs on a
 * single event loop, which owns all routing state.
 */
package org.boragethread.entry.gateway;
