package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Finds requests whose framing or address two readers could understand differently. */
final class RequestChecks {

    private RequestChecks() {}

    /** Returns what is wrong with a head, or null if nothing is. */
    static String findProblem(HttpRequest head) {
        HttpHeaders headers = head.headers();
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return "there must be one Host header";
        }
        if (!head.uri().startsWith("/")) {
            return "the target must begin with a slash";
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (codings.isEmpty()) {
            return lengths.size() > 1 ? "there must be one Content-Length header" : null;
        }
        if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
            return "the only transfer coding is chunked";
        }
        if (!lengths.isEmpty() || head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return "the length of the body is ambiguous";
        }
        return null;
    }
}
