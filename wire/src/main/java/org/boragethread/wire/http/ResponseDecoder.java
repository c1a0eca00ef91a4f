package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a peer. A head that HTTP/1.1 does not allow is reported as a decoder
 * failure, so that no user of a response has to check it again.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 32768;
    private static final int MAX_CHUNK_BYTES = 65536;

    /** Versions whose messages have the form of HTTP/1.1 (RFC 9112, section 2.3). */
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

    /** Status codes from 100 to 599 (RFC 9110, section 15). */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

    /** Result of a check that found no invalid character. */
    private static final int VALID = -1;

    private final BooleanSupplier mIsResponseDue;
    private HttpMethod mMethod = HttpMethod.GET;
    private boolean mReadingFields;
    private boolean mFolded;
    private boolean mAtLineStart;

    /**
     * Creates a decoder.
     *
     * @param isResponseDue whether a call is in progress; bytes that arrive while there is none
     *     close the connection, even if they are no whole message
     */
    ResponseDecoder(BooleanSupplier isResponseDue) {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        mIsResponseDue = isResponseDue;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object data) throws Exception {
        if (mIsResponseDue.getAsBoolean()) {
            super.channelRead(context, data);
            return;
        }
        ReferenceCountUtil.release(data);
        context.close();
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

    /** Decodes what has arrived, up to the end of the head or trailers at most. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
            throws Exception {
        int start = input.readerIndex();
        super.decode(context, input, output);
        if (!mReadingFields) {
            return;
        }
        findFoldedLine(input, start);
        if (output.isEmpty()) {
            return;
        }
        if (mFolded) {
            InvalidHeadException cause = new InvalidHeadException("a line begins with a blank");
            ((HttpObject) output.get(0)).setDecoderResult(DecoderResult.failure(cause));
        }
        mReadingFields = false;
        mFolded = false;
        mAtLineStart = false;
    }

    /**
     * Looks for lines that begin with a blank among the decoded ones. The superclass joins them to
     * the value of the header before, where another header may be hidden in this way.
     */
    private void findFoldedLine(ByteBuf input, int start) {
        for (int i = start; i < input.readerIndex(); i++) {
            byte next = input.getByte(i);
            mFolded |= mAtLineStart && (next == ' ' || next == '\t');
            mAtLineStart = next == '\n';
        }
    }

    /**
     * Creates a response from the words of its first line.
     *
     * @throws InvalidHeadException if the version or the status code is not valid
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!VERSION.matcher(initialLine[0]).matches()) {
            throw new InvalidHeadException("the version is not HTTP/1");
        }
        if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
            throw new InvalidHeadException("the status code is not a number from 100 to 599");
        }
        mReadingFields = true;
        return super.createMessage(initialLine);
    }

    /**
     * Returns the name of a header or trailer. The superclass leaves out blanks around it and
     * whatever lies between a blank and the colon.
     *
     * @param line buffer that holds the line from its first byte on
     * @throws InvalidHeadException if the name is no token, or not all that precedes the colon
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        mReadingFields = true;
        AsciiString name = super.splitHeaderName(line, start, length);
        boolean whole = start == 0 && length > 0 && line[length] == ':';
        if (!whole || HttpHeaderValidationUtil.validateToken(name) != VALID) {
            throw new InvalidHeadException("a header name is not a token");
        }
        return name;
    }
}
