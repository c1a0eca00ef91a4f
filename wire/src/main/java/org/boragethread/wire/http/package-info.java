/**
 * Asynchronous HTTP client with a connection pool. Failures state whether any part of the request
 * may have been sent.
 */
package org.boragethread.wire.http;
