package org.boragethread.entry.gateway;

import org.boragethread.wire.http.BodyFraming;

/**
 * How much of an upstream's response has arrived, for logs.
 *
 * @param framing framing of the body
 * @param bytes bytes of the body, without its transfer coding
 * @param events complete events; 0 if the body is no event stream
 * @param partialEventBytes bytes after the last complete event; 0 if the body is no event stream
 */
record ResponseProgress(BodyFraming framing, long bytes, long events, long partialEventBytes) {}
