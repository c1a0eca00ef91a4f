package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/**
 * Detects requests whose framing or target could be interpreted differently by two HTTP
 * implementations, which would allow request smuggling.
 */
final class RequestValidator {

    private RequestValidator() {}

    /** Returns why a request head is invalid, or empty if it is valid. */
    static Optional<String> findProblem(HttpRequest head) {
        HttpHeaders headers = head.headers();
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return Optional.of("exactly one Host header is required");
        }
        if (!head.uri().startsWith("/")) {
            return Optional.of("the request target must start with a slash");
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (codings.isEmpty()) {
            return lengths.size() > 1
                    ? Optional.of("more than one Content-Length header")
                    : Optional.empty();
        }
        if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
            return Optional.of("the only supported transfer coding is chunked");
        }
        if (!lengths.isEmpty() || head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return Optional.of(
                    "ambiguous body length: Transfer-Encoding with Content-Length or HTTP/1.0");
        }
        return Optional.empty();
    }
}
