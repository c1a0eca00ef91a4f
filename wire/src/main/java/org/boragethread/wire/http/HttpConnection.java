package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A pooled client connection, which carries one call at a time. */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    /** Maximum idle time of a connection; the peer may announce a shorter one. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

    /**
     * Fraction of the idle timeout announced by the peer after which a connection is no longer
     * used, so that no request is sent while the peer closes the connection.
     */
    private static final double KEEP_ALIVE_TIMEOUT_FRACTION = 0.5;

    /**
     * Time in which a peer that has closed its connection resets it, if a request is still being
     * written: several times the 200 ms after which Linux probes a peer that takes no data.
     */
    private static final Duration RESET_DETECTION_TIME = Duration.ofSeconds(1);

    private static final int MAX_MISMATCHED_RESPONSES = 4;
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;

    /** Bodies of responses to other requests that are read until the awaited response. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    private final HttpConnectionPool mPool;
    private final InetSocketAddress mAddress;
    private final ResponseDecoder mDecoder = new ResponseDecoder(this::isInCall);
    private SocketChannel mChannel;
    private ActiveCall mCall;
    private boolean mReused;
    private boolean mHeadReceived;
    private boolean mDiscarding;
    private boolean mRequestWritten;
    private boolean mResponseComplete;
    private boolean mInputEnded;
    private boolean mKeepAlive;
    private BodyFraming mFraming = BodyFraming.NO_BODY;
    private int mMismatchedResponses;
    private int mInformationalResponses;
    private long mDiscardedBytes;
    private long mIdleSinceNanos;
    private long mMaxIdleNanos = MAX_IDLE_TIME.toNanos();

    HttpConnection(HttpConnectionPool pool, InetSocketAddress address) {
        mPool = pool;
        mAddress = address;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    void install(SocketChannel channel) {
        mChannel = channel;
        channel.pipeline().addLast(mDecoder, new HttpRequestEncoder(), this);
    }

    private boolean isInCall() {
        return mCall != null;
    }

    boolean isUsable() {
        return mChannel.isActive() && mPool.time().nanoTime() - mIdleSinceNanos < mMaxIdleNanos;
    }

    void close() {
        mChannel.close();
    }

    /** Sends the request of a call. */
    void start(ActiveCall call) {
        if (call.isEnded()) {
            call.call().request().release();
            close();
            return;
        }
        mCall = call;
        mHeadReceived = false;
        mDiscarding = false;
        mRequestWritten = false;
        mResponseComplete = false;
        mInputEnded = false;
        mMismatchedResponses = 0;
        mInformationalResponses = 0;
        mDiscardedBytes = 0;
        mDecoder.setMethod(call.call().request().method());
        call.attach(mChannel);
        call.markMaybeSent();
        mChannel.writeAndFlush(call.call().request())
                .addListener(
                        written -> {
                            mRequestWritten = written.isSuccess();
                            if (mResponseComplete) {
                                finish();
                            } else if (mInputEnded && written.isSuccess()) {
                                completeAtEndOfInput(call);
                            } else if (!written.isSuccess()) {
                                failLater(call, written.cause());
                            }
                        });
    }

    /** Fails a call whose request was not written, also if that is known during its start. */
    private void failLater(ActiveCall call, Throwable cause) {
        String detail = "the request was not written: " + cause.getMessage();
        mChannel.eventLoop()
                .execute(
                        () -> {
                            if (mCall == call && !mResponseComplete) {
                                fail(CallFailure.Kind.BROKEN, detail);
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            onMessage(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onMessage(Object message) {
        if (mCall == null || mResponseComplete) {
            // No call is in progress, so the peer has sent unsolicited data.
            close();
            return;
        }
        DecoderResult result = ((HttpObject) message).decoderResult();
        if (result.isFailure()) {
            fail(CallFailure.Kind.PROTOCOL, describe(result.cause()));
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(head);
        }
        if (message instanceof HttpContent content && mCall != null) {
            onContent(content);
        }
    }

    /** Returns a text for logs; other causes than invalid heads may hold bytes of the peer. */
    private static String describe(Throwable cause) {
        String detail = "the response is not valid HTTP";
        return cause instanceof InvalidHeadException ? detail + ": " + cause.getMessage() : detail;
    }

    private void onHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mDiscarding = true;
            mInformationalResponses++;
            if (mInformationalResponses > MAX_INFORMATIONAL_RESPONSES) {
                fail(CallFailure.Kind.PROTOCOL, "the peer sent informational responses only");
            }
            return;
        }
        mDiscarding = isMismatched(head);
        if (mDiscarding) {
            mMismatchedResponses++;
            if (mMismatchedResponses > MAX_MISMATCHED_RESPONSES
                    || HttpUtil.getContentLength(head, -1L) > MAX_DISCARDED_BYTES) {
                fail(CallFailure.Kind.PROTOCOL, "the peer sent responses to other requests");
            }
            return;
        }
        if (isOriginUnknown(head)) {
            fail(CallFailure.Kind.PROTOCOL, "the response names no request");
            return;
        }
        mHeadReceived = true;
        mFraming = BodyFraming.of(mCall.call().request().method(), head);
        mKeepAlive = HttpUtil.isKeepAlive(head) && mFraming != BodyFraming.CONNECTION_END;
        mMaxIdleNanos = maxIdleNanos(head);
        mCall.deliverHead(head);
    }

    /** Returns whether a response echoes the correlation header of another, earlier request. */
    private boolean isMismatched(HttpResponse head) {
        if (mCall.call().correlationHeader().isEmpty()) {
            return false;
        }
        CharSequence name = mCall.call().correlationHeader().get();
        String echoed = head.headers().get(name);
        return echoed != null && !echoed.equals(mCall.call().request().headers().get(name));
    }

    /**
     * Returns whether a response lacks the correlation header of its request on a reused
     * connection, where it may be a copy of the response to an earlier call.
     */
    private boolean isOriginUnknown(HttpResponse head) {
        if (!mReused || mCall.call().correlationHeader().isEmpty()) {
            return false;
        }
        CharSequence name = mCall.call().correlationHeader().get();
        return mCall.call().request().headers().contains(name) && !head.headers().contains(name);
    }

    private void onContent(HttpContent content) {
        ByteBuf data = content.content();
        if (mHeadReceived && data.isReadable()) {
            mCall.deliverBody(data);
        }
        if (mDiscarding) {
            mDiscardedBytes += data.readableBytes();
            if (mDiscardedBytes > MAX_DISCARDED_BYTES) {
                fail(CallFailure.Kind.PROTOCOL, "the response to another request does not end");
                return;
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (mDiscarding) {
            mDiscarding = false;
            return;
        }
        if (mFraming == BodyFraming.CONNECTION_END && !isEndOfInputReached()) {
            fail(CallFailure.Kind.BROKEN, "the connection failed before the body ended");
            return;
        }
        if (mFraming == BodyFraming.CONNECTION_END && !mRequestWritten) {
            awaitReset();
            return;
        }
        mResponseComplete = true;
        if (mRequestWritten || !mChannel.isActive()) {
            // After everything that arrived with the response, which may be more than the response.
            mChannel.eventLoop().execute(this::finish);
        } else {
            // The peer responded before the whole request was written. The connection cannot be
            // reused, because the rest of the request would still have to be sent first.
            finishBeforeRequestWritten();
        }
    }

    /**
     * Waits, after the end of the peer's data, for a reset until the request is written. A peer
     * that closes a connection on which data still arrives seems to end its response first. A peer
     * that has only ended its response may also stop reading, so the wait is bounded.
     */
    private void awaitReset() {
        ActiveCall call = mCall;
        mInputEnded = true;
        mChannel.eventLoop()
                .schedule(
                        () -> completeAtEndOfInput(call),
                        RESET_DETECTION_TIME.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void completeAtEndOfInput(ActiveCall call) {
        if (mCall == call && mInputEnded) {
            mResponseComplete = true;
            finishBeforeRequestWritten();
        }
    }

    /** Returns whether the peer ended its data, as opposed to a reset or a close by this side. */
    private boolean isEndOfInputReached() {
        return mChannel.isActive() && mChannel.isInputShutdown();
    }

    /** Completes the call and closes the connection, on which further requests cannot be sent. */
    private void finishBeforeRequestWritten() {
        ActiveCall call = mCall;
        mKeepAlive = false;
        mCall = null;
        close();
        call.complete();
    }

    private void finish() {
        ActiveCall call = mCall;
        if (call == null) {
            return;
        }
        mCall = null;
        if (call.isEnded()) {
            close();
            return;
        }
        boolean released = false;
        try {
            released = tryRelease();
        } finally {
            if (!released) {
                close();
            }
            call.complete();
        }
    }

    /** Returns the connection to the pool if it can be used again; returns whether it did. */
    private boolean tryRelease() {
        if (!mKeepAlive || !mChannel.isActive() || mDecoder.hasUndecodedBytes()) {
            return false;
        }
        mChannel.config().setAutoRead(true);
        mIdleSinceNanos = mPool.time().nanoTime();
        mReused = true;
        mPool.release(this);
        return true;
    }

    private void fail(CallFailure.Kind kind, String detail) {
        ActiveCall call = mCall;
        mCall = null;
        close();
        if (call != null) {
            call.fail(kind, detail);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (mResponseComplete) {
            close();
            return;
        }
        fail(CallFailure.Kind.BROKEN, String.valueOf(cause.getMessage()));
    }

    /** Handles the end of the peer's data, after the decoder has reported what it completes. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !mInputEnded) {
            onDisconnected();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onDisconnected();
    }

    private void onDisconnected() {
        mPool.remove(this);
        if (mResponseComplete) {
            mKeepAlive = false;
            finish();
            return;
        }
        fail(CallFailure.Kind.BROKEN, "the connection was closed");
    }

    private static long maxIdleNanos(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
        if (value == null) {
            return MAX_IDLE_TIME.toNanos();
        }
        Matcher match = KEEP_ALIVE_TIMEOUT.matcher(value);
        if (!match.find()) {
            return MAX_IDLE_TIME.toNanos();
        }
        long announced = Duration.ofSeconds(Long.parseLong(match.group(1))).toNanos();
        return Math.min(MAX_IDLE_TIME.toNanos(), (long) (announced * KEEP_ALIVE_TIMEOUT_FRACTION));
    }
}
