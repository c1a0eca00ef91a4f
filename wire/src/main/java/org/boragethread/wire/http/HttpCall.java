package org.boragethread.wire.http;

import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * An HTTP request with its connection options.
 *
 * @param address address of the peer
 * @param request the complete request, with its body
 * @param newConnectionRequired whether the call requires a new connection, because the request must
 *     not be sent over a pooled connection that the peer may be closing, or on which it may repeat
 *     its response to an earlier attempt
 * @param connectTimeout maximum time to establish a new connection
 * @param correlationHeader name of the request header that a response echoes, if the protocol has
 *     one; a response without it counts on a new connection only
 */
public record HttpCall(
        InetSocketAddress address,
        FullHttpRequest request,
        boolean newConnectionRequired,
        Duration connectTimeout,
        Optional<CharSequence> correlationHeader) {}
