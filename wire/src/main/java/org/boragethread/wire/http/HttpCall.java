package org.boragethread.wire.http;

import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * One HTTP request to be sent.
 *
 * @param address where to send it
 * @param request head and whole body
 * @param fresh whether it needs a new connection, because it must not be sent over one that the
 *     peer may be closing
 * @param connectTimeout time in which a new connection must be open
 * @param correlation header that the response must echo, if the protocol has one
 */
public record HttpCall(
        InetSocketAddress address,
        FullHttpRequest request,
        boolean fresh,
        Duration connectTimeout,
        Optional<CharSequence> correlation) {}
