/**
 * Serves routes: requests that pass through unchanged to upstreams which the entry calls directly.
 * All of it runs on one event loop, which is the worker that owns the tables.
 */
package org.boragethread.entry.gateway;
