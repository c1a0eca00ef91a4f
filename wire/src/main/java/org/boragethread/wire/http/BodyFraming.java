package org.boragethread.wire.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response body is determined (RFC 9112, section 6.3). */
public enum BodyFraming {
    /** By the Content-Length header. */
    CONTENT_LENGTH,
    /** By the last chunk. */
    CHUNKED,
    /** By the end of the connection. */
    CONNECTION_END,
    /** The request method or the status code excludes a body. */
    NO_BODY;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Returns the framing of the body of a response to a request with the given method. */
    public static BodyFraming of(HttpMethod method, HttpResponse head) {
        int status = head.status().code();
        if (method.equals(HttpMethod.HEAD) || status == NO_CONTENT || status == NOT_MODIFIED) {
            return NO_BODY;
        }
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(head) ? CONTENT_LENGTH : CONNECTION_END;
    }
}
