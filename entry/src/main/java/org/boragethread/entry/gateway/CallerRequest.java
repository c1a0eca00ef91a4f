package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.boragethread.core.follow.ClockReading;

/**
 * One whole request of a caller.
 *
 * @param id the caller's identity of the request; empty if it sent none
 * @param method HTTP method
 * @param target path and query as sent
 * @param headers all headers as sent
 * @param body whole body, owned by the request
 * @param arrivedAt when its head arrived
 */
record CallerRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        ClockReading arrivedAt) {

    /** Returns the path without its query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
