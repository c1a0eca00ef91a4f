package org.boragethread.agent.upstream;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;

/**
 * One HTTP request to the upstream.
 *
 * @param path path to post to
 * @param contentType media type of the body
 * @param headers further headers
 * @param body the body
 * @param idempotent whether the request may be sent again if a reused connection turns out closed
 */
public record UpstreamRequest(
        String path,
        String contentType,
        List<Header> headers,
        ByteString body,
        boolean idempotent) {

    public UpstreamRequest {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** A header line. */
    public record Header(String name, String value) {}
}
