/** Asynchronous HTTP calls over kept connections, with exact knowledge of what was sent. */
package org.boragethread.wire.http;
