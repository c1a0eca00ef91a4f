package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Map;
import org.boragethread.platform.store.PlatformHeaders;

/** Filters the headers that are forwarded between callers and upstreams. */
final class ForwardedHeaders {

    private static final AsciiString[] HOP_BY_HOP = {
        HttpHeaderNames.CONNECTION,
        AsciiString.cached("keep-alive"),
        AsciiString.cached("proxy-connection"),
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
    };

    private ForwardedHeaders() {}

    /**
     * Returns a caller's headers without hop-by-hop headers, headers that only the system may set,
     * and the API key.
     */
    static HttpHeaders ofRequest(HttpHeaders from) {
        HttpHeaders headers = withoutHopByHop(from);
        for (AsciiString name : PlatformHeaders.SYSTEM_ONLY) {
            headers.remove(name);
        }
        String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        if (isApiKey(authorization)) {
            headers.remove(HttpHeaderNames.AUTHORIZATION);
        }
        return headers;
    }

    /** Returns an upstream's headers without hop-by-hop headers. */
    static HttpHeaders ofResponse(HttpHeaders from) {
        return withoutHopByHop(from);
    }

    /**
     * Returns the headers of an event stream without hop-by-hop headers and without its length: by
     * its length a caller would take a stream for complete before its end is checked.
     */
    static HttpHeaders ofEventStream(HttpHeaders from) {
        HttpHeaders headers = withoutHopByHop(from);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        return headers;
    }

    /** Returns whether an Authorization header holds an API key, which upstreams must not see. */
    static boolean isApiKey(String authorization) {
        String scheme = PlatformHeaders.KEY_SCHEME;
        return authorization.regionMatches(true, 0, scheme, 0, scheme.length());
    }

    private static HttpHeaders withoutHopByHop(HttpHeaders from) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        for (Map.Entry<String, String> header : from) {
            headers.add(header.getKey(), header.getValue());
        }
        for (String names : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : names.split(",")) {
                removeConnectionOption(headers, name.trim());
            }
        }
        for (AsciiString name : HOP_BY_HOP) {
            headers.remove(name);
        }
        return headers;
    }

    /** Removes a header named in a Connection header, unless the system relies on it. */
    private static void removeConnectionOption(HttpHeaders headers, String name) {
        boolean required =
                name.isEmpty()
                        || HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
                        || HttpHeaderNames.HOST.contentEqualsIgnoreCase(name)
                        || name.regionMatches(true, 0, "x-", 0, 2);
        if (!required) {
            headers.remove(name);
        }
    }
}
