package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Finds requests whose framing or address two readers could understand differently. */
final class RequestChecks {

    private RequestChecks() {}

    /** Returns what is wrong with a head, if anything is. */
    static Optional<String> findProblem(HttpRequest head) {
        HttpHeaders headers = head.headers();
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return Optional.of("there must be one Host header");
        }
        if (!head.uri().startsWith("/")) {
            return Optional.of("the target must begin with a slash");
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (codings.isEmpty()) {
            return lengths.size() > 1
                    ? Optional.of("there must be one Content-Length header")
                    : Optional.empty();
        }
        if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
            return Optional.of("the only transfer coding is chunked");
        }
        if (!lengths.isEmpty() || head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return Optional.of("the length of the body is ambiguous");
        }
        return Optional.empty();
    }
}
