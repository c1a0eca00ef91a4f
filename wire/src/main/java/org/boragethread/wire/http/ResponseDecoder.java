package org.boragethread.wire.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a peer. A head that HTTP/1.1 does not allow is reported as a decoder
 * failure, so that no user of a response has to check it again.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 32768;
    private static final int MAX_CHUNK_BYTES = 65536;

    /** Status codes from 100 to 599 (RFC 9110, section 15). */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

    private HttpMethod mMethod = HttpMethod.GET;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets the method of the request, since responses to HEAD have no body. */
    void setMethod(HttpMethod method) {
        mMethod = method;
    }

    /** Returns whether the peer has begun to send another message. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }

    /**
     * Creates a response from the words of its first line.
     *
     * @throws IllegalArgumentException if the status code is not valid
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status code: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }
}
