package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One client connection, which carries one call at a time. */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 32768;
    private static final int MAX_CHUNK_BYTES = 65536;

    /** Idle time after which a connection is closed if the peer names no time of its own. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(4);

    /** Share of the peer's announced idle time that is used, so that a call crosses no close. */
    private static final double IDLE_SHARE = 0.5;

    private static final int MAX_FOREIGN_RESPONSES = 4;
    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    private final HttpConnections mPool;
    private final InetSocketAddress mAddress;
    private final Decoder mDecoder = new Decoder();
    private Channel mChannel;
    private CallState mCall;
    private boolean mHeadSeen;
    private boolean mDiscarding;
    private boolean mWritten;
    private boolean mComplete;
    private boolean mKeepAlive;
    private boolean mReset;
    private int mForeign;
    private long mIdleSince;
    private long mMaxIdleNanos = MAX_IDLE.toNanos();

    HttpConnection(HttpConnections pool, InetSocketAddress address) {
        mPool = pool;
        mAddress = address;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    void install(Channel channel) {
        mChannel = channel;
        channel.pipeline().addLast(mDecoder, new HttpRequestEncoder(), this);
    }

    boolean isUsable() {
        return mChannel.isActive() && mPool.time().nanoTime() - mIdleSince < mMaxIdleNanos;
    }

    void close() {
        mChannel.close();
    }

    /** Sends the request of a call. */
    void start(CallState call) {
        if (call.isEnded()) {
            call.call().request().release();
            close();
            return;
        }
        mCall = call;
        mHeadSeen = false;
        mDiscarding = false;
        mWritten = false;
        mComplete = false;
        mForeign = 0;
        mDecoder.setMethod(call.call().request().method());
        call.attach(mChannel);
        call.markSent();
        mChannel.writeAndFlush(call.call().request())
                .addListener(
                        done -> {
                            mWritten = done.isSuccess();
                            if (mComplete) {
                                finish();
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (mCall == null || mComplete) {
            // Nothing was asked for, so these bytes belong to no call.
            close();
            return;
        }
        if (((HttpObject) message).decoderResult().isFailure()) {
            fail(CallFailure.Kind.PROTOCOL, "the response is not valid HTTP");
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mDiscarding = true;
            return;
        }
        mDiscarding = isForeign(head);
        if (mDiscarding) {
            mForeign++;
            if (mForeign > MAX_FOREIGN_RESPONSES
                    || HttpUtil.getContentLength(head, -1L) > 1 << 20) {
                fail(CallFailure.Kind.PROTOCOL, "responses to other requests arrived");
            }
            return;
        }
        mHeadSeen = true;
        mKeepAlive = HttpUtil.isKeepAlive(head) && hasEnd(head);
        mMaxIdleNanos = idleNanos(head);
        mCall.head(head);
    }

    /** An answer that names another request belongs to an earlier call. */
    private boolean isForeign(HttpResponse head) {
        if (mCall.call().correlation().isEmpty()) {
            return false;
        }
        CharSequence name = mCall.call().correlation().get();
        String echoed = head.headers().get(name);
        return echoed != null && !echoed.equals(mCall.call().request().headers().get(name));
    }

    private void readContent(HttpContent content) {
        ByteBuf data = content.content();
        if (mHeadSeen && data.isReadable()) {
            mCall.body(data);
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (mDiscarding) {
            mDiscarding = false;
            return;
        }
        if (mReset) {
            fail(CallFailure.Kind.BROKEN, "the connection was reset");
            return;
        }
        mComplete = true;
        if (mWritten || !mChannel.isActive()) {
            finish();
        } else {
            // The peer answered before it had read the request; nothing may follow on this
            // connection until the rest of the request has been written.
            finishEarly();
        }
    }

    private void finishEarly() {
        CallState call = mCall;
        mKeepAlive = false;
        mCall = null;
        close();
        call.end();
    }

    private void finish() {
        CallState call = mCall;
        if (call == null) {
            return;
        }
        mCall = null;
        if (call.isEnded()) {
            close();
            return;
        }
        if (mKeepAlive && mChannel.isActive()) {
            mChannel.config().setAutoRead(true);
            mIdleSince = mPool.time().nanoTime();
            mPool.release(this);
        } else {
            close();
        }
        call.end();
    }

    private void fail(CallFailure.Kind kind, String detail) {
        CallState call = mCall;
        mCall = null;
        close();
        if (call != null) {
            call.fail(kind, detail);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mReset = true;
        fail(CallFailure.Kind.BROKEN, String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.remove(this);
        fail(CallFailure.Kind.BROKEN, "the connection was closed");
    }

    private static boolean hasEnd(HttpMessage head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head instanceof HttpResponse response
                        && (response.status().code() == 204 || response.status().code() == 304);
    }

    private static long idleNanos(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
        if (value == null) {
            return MAX_IDLE.toNanos();
        }
        Matcher match = TIMEOUT.matcher(value);
        if (!match.find()) {
            return MAX_IDLE.toNanos();
        }
        long announced = Duration.ofSeconds(Long.parseLong(match.group(1))).toNanos();
        return Math.min(MAX_IDLE.toNanos(), (long) (announced * IDLE_SHARE));
    }

    /** Knows the method of the request, since responses to HEAD have no body. */
    private static final class Decoder extends HttpResponseDecoder {

        private HttpMethod mMethod = HttpMethod.GET;

        Decoder() {
            super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        }

        void setMethod(HttpMethod method) {
            mMethod = method;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return mMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
        }
    }
}
