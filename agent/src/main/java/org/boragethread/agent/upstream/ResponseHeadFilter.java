package org.boragethread.agent.upstream;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Decodes the responses of an upstream. A head that HTTP/1.1 does not allow ends the connection, so
 * that no user of a response has to check it again.
 */
final class ResponseHeadFilter extends HttpClientFilter {

    /** Lowest and highest status code (RFC 9110, section 15). */
    private static final int MIN_STATUS = 100;

    private static final int MAX_STATUS = 599;

    /** Result of a check that found no invalid character. */
    private static final int VALID = -1;

    /**
     * Checks a head that was decoded.
     *
     * @throws IllegalStateException if the head is not valid
     */
    @Override
    protected void onHttpHeadersParsed(
            HttpHeader header, MimeHeaders fields, FilterChainContext context) {
        int status = ((HttpResponsePacket) header).getStatus();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw reject(context, "the status code is not a number from 100 to 599");
        }
        for (String name : fields.names()) {
            if (name.isEmpty() || HttpHeaderValidationUtil.validateToken(name) != VALID) {
                throw reject(context, "a header name is not a token");
            }
        }
        super.onHttpHeadersParsed(header, fields, context);
    }

    /** Fails the exchange; the exception makes the superclass close the connection. */
    private static IllegalStateException reject(FilterChainContext context, String cause) {
        String detail = "the response is not valid HTTP: " + cause;
        ExchangeFilter.fail(context.getConnection(), detail);
        return new IllegalStateException(detail);
    }
}
