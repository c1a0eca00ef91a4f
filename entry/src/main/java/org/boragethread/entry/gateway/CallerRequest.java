package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.boragethread.core.follow.ClockReading;

/**
 * A caller's complete HTTP request.
 *
 * @param id request ID that the caller sent; empty if there is none
 * @param method HTTP method
 * @param target request target as sent: path and query
 * @param headers all headers as sent
 * @param body complete body, owned by the request
 * @param begunNanos monotonic time at which the first byte of the request arrived
 * @param arrivedAt time at which the request head arrived
 */
record CallerRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        long begunNanos,
        ClockReading arrivedAt) {

    /** Returns the path without its query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns a hash of the ID, from 0 (inclusive) to 1 (exclusive). */
    double unitHash() {
        return (Hashing.komihash5_0().hashCharsToLong(id) >>> 11) * 0x1.0p-53;
    }
}
