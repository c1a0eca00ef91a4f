package org.boragethread.agent.upstream;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;

/**
 * One HTTP request to the upstream.
 *
 * @param path path of the POST request
 * @param contentType media type of the body
 * @param headers additional headers
 * @param body the body
 * @param idempotent whether the request may be sent again if a reused connection turns out to be
 *     closed
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

    /** A header field. */
    public record Header(String name, String value) {}
}
