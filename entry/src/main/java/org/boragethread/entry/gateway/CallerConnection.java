package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.platform.store.PlatformHeaders;

/** One connection of a caller. Its requests are answered one after another. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerSink {

    /** Time for a body to arrive, besides the time for the head. */
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    /** Messages of later requests that are held while one is answered. */
    private static final int MAX_HELD_MESSAGES = 64;

    private final Gateway mGateway;
    private final CallerBounds mBounds;
    private final Channel mChannel;
    private final Deque<Object> mHeld = new ArrayDeque<>();
    private HttpRequest mHead;
    private CompositeByteBuf mBody;
    private ClockReading mHeadAt;
    private ForwardedRequest mRunning;
    private boolean mKeepAlive = true;
    private boolean mIsHead;
    private boolean mChunked;
    private boolean mClosing;
    private long mQuietSince;
    private long mBytesSince = -1;

    CallerConnection(Gateway gateway, Channel channel, CallerBounds bounds) {
        mGateway = gateway;
        mBounds = bounds;
        mChannel = channel;
        mQuietSince = gateway.time().nanoTime();
    }

    /** Notes that bytes arrived, before they are decoded. */
    void onBytes() {
        if (mRunning == null && mBytesSince < 0) {
            mBytesSince = mGateway.time().nanoTime();
        }
    }

    /** Closes the connection if it has been idle or slow for too long. */
    void checkTimes(long now) {
        if (mRunning != null || mClosing) {
            return;
        }
        if (mBytesSince < 0) {
            if (now - mQuietSince > mBounds.idleTimeout().toNanos()) {
                close();
            }
            return;
        }
        long limit = mBounds.headerTimeout().toNanos();
        if (mHead == null && now - mBytesSince > limit) {
            reject(RefusalReason.HEADER_TIMEOUT, "the head is not complete");
        } else if (mHead != null && now - mBytesSince > limit + BODY_TIMEOUT.toNanos()) {
            reject(RefusalReason.BODY_TIMEOUT, "the body is not complete");
        }
    }

    /** Closes the connection if no request is being received or answered. */
    void closeIfIdle() {
        if (mRunning == null && mHead == null) {
            close();
        }
    }

    boolean isBusy() {
        return mRunning != null || mHead != null;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mRunning != null) {
            mHeld.add(message);
            if (mHeld.size() > MAX_HELD_MESSAGES) {
                mChannel.config().setAutoRead(false);
            }
            return;
        }
        try {
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (((HttpObject) message).decoderResult().isFailure()) {
            onUndecodable(((HttpObject) message).decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mHead != null) {
            readBody(content);
        }
    }

    private void onUndecodable(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        reject(
                tooLong ? RefusalReason.HEADER_TOO_LARGE : RefusalReason.BAD_REQUEST,
                String.valueOf(cause.getMessage()));
    }

    private void readHead(HttpRequest head) {
        mHeadAt = ClockReading.now(mGateway.time());
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mIsHead = head.method().equals(HttpMethod.HEAD);
        Optional<String> problem = RequestChecks.findProblem(head);
        if (problem.isPresent()) {
            reject(RefusalReason.BAD_REQUEST, problem.get());
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > mBounds.bodyBytes()) {
            reject(RefusalReason.BODY_TOO_LARGE, "more than " + mBounds.bodyBytes() + " bytes");
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        mHead = head;
        mBody = Unpooled.compositeBuffer(1024);
    }

    private void readBody(HttpContent content) {
        ByteBuf data = content.content();
        if (mBody.readableBytes() + (long) data.readableBytes() > mBounds.bodyBytes()) {
            reject(RefusalReason.BODY_TOO_LARGE, "more than " + mBounds.bodyBytes() + " bytes");
            return;
        }
        if (data.isReadable()) {
            mBody.addComponent(true, data.retain());
        }
        if (content instanceof LastHttpContent) {
            begin();
        }
    }

    private void begin() {
        String id = mHead.headers().get(PlatformHeaders.REQUEST_ID, "");
        CallerRequest request =
                new CallerRequest(id, mHead.method(), mHead.uri(), mHead.headers(), mBody, mHeadAt);
        mHead = null;
        mBody = null;
        mBytesSince = -1;
        mRunning = new ForwardedRequest(mGateway, request, this);
        mRunning.start();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosing = true;
        releaseInput();
        ForwardedRequest running = mRunning;
        mRunning = null;
        if (running != null) {
            running.onCallerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The caller's connection failed; channelInactive follows and gives its request up.
        mGateway.metrics().onBroken("caller-connection");
        mChannel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mRunning != null) {
            mRunning.onWritable(mChannel.isWritable());
        }
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        mChunked = !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && !mIsHead;
        if (mChunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnectionHeader(headers);
        mChannel.write(response);
    }

    @Override
    public void body(ByteBuf data) {
        mChannel.writeAndFlush(new DefaultHttpContent(data));
    }

    @Override
    public void end() {
        finish(mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void whole(int status, HttpHeaders headers, ByteBuf body) {
        if (!mIsHead) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        setConnectionHeader(headers);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        body,
                        headers,
                        new DefaultHttpHeaders(false));
        finish(mChannel.writeAndFlush(response));
    }

    @Override
    public void refuse(Refusal refusal) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        refusal.retryAfter()
                .ifPresent(
                        after ->
                                headers.set(
                                        HttpHeaderNames.RETRY_AFTER,
                                        String.format(
                                                Locale.ROOT, "%.2f", after.toMillis() / 1000.0)));
        String body = RefusalBody.of(refusal);
        whole(
                refusal.reason().status(),
                headers,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    @Override
    public void abort() {
        mRunning = null;
        close();
    }

    @Override
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (!mKeepAlive || mGateway.isStopping()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mKeepAlive = false;
        }
    }

    private void finish(ChannelFuture written) {
        mRunning = null;
        mQuietSince = mGateway.time().nanoTime();
        if (!mKeepAlive) {
            mClosing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        // The next request is read later, so that an answer given at once does not recurse.
        if (!mHeld.isEmpty()) {
            mChannel.eventLoop().execute(this::readHeld);
        }
    }

    private void readHeld() {
        while (mRunning == null && !mClosing && !mHeld.isEmpty()) {
            onBytes();
            Object message = mHeld.poll();
            try {
                read(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        if (mHeld.size() <= MAX_HELD_MESSAGES && !mClosing) {
            mChannel.config().setAutoRead(true);
        }
    }

    /** Answers a request that was not read to its end, and closes the connection. */
    private void reject(RefusalReason reason, String detail) {
        mKeepAlive = false;
        mGateway.metrics().onRefused(reason);
        mGateway.log()
                .event("rejected")
                .with("reason", reason.label())
                .with("detail", detail)
                .warn();
        releaseInput();
        refuse(Refusal.notRun(reason, detail));
    }

    private void releaseInput() {
        mHead = null;
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        while (!mHeld.isEmpty()) {
            ReferenceCountUtil.release(mHeld.poll());
        }
    }

    private void close() {
        mClosing = true;
        mChannel.close();
    }
}
