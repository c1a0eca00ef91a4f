package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.entry.gateway.ConnectionTrace.PartialRequest;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.platform.store.PlatformHeaders;

/** A caller's HTTP connection. Pipelined requests are processed one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponseWriter {

    /** Time for a body to arrive, in addition to the time for the head. */
    private static final Duration EXTRA_BODY_TIMEOUT = Duration.ofSeconds(10);

    /** Messages of pipelined requests that are queued before reading from the socket is paused. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final Gateway mGateway;
    private final CallerBounds mBounds;
    private final Channel mChannel;
    private final Deque<Object> mQueuedMessages = new ArrayDeque<>();
    private HttpRequest mRequestHead;
    private CompositeByteBuf mRequestBody;
    private ClockReading mHeadReceivedAt;
    private ForwardedRequest mActiveRequest;
    private boolean mKeepAlive = true;
    private boolean mIsHeadRequest;
    private boolean mAcceptsChunks;
    private boolean mEndsBodyByClosing;
    private boolean mClosing;
    private long mIdleSinceNanos;
    private long mReceivingSinceNanos = -1;
    private long mReceivedBytes;
    private Optional<HttpRequest> mPartialHead = Optional.empty();
    private String mActiveId = "";
    private String mEndCause = "closed by the caller";
    private final ConnectionTrace mTrace;

    CallerConnection(Gateway gateway, Channel channel, CallerBounds bounds) {
        mGateway = gateway;
        mBounds = bounds;
        mChannel = channel;
        mTrace = new ConnectionTrace(gateway, channel);
        mIdleSinceNanos = gateway.time().nanoTime();
    }

    /** Records that bytes arrived, before they are decoded. */
    void onBytesReceived(int bytes) {
        if (mActiveRequest != null) {
            return;
        }
        if (mReceivingSinceNanos < 0) {
            mReceivingSinceNanos = mGateway.time().nanoTime();
        }
        mReceivedBytes += bytes;
    }

    /**
     * Closes the connection if it exceeded the idle, header or body timeout.
     *
     * @return whether it was closed because it was idle, which its server logs
     */
    boolean closeIfTimedOut(long now) {
        if (mActiveRequest != null || mClosing) {
            return false;
        }
        if (mReceivingSinceNanos < 0) {
            boolean expired = now - mIdleSinceNanos > mBounds.idleTimeout().toNanos();
            if (expired) {
                close("idle");
            }
            return expired;
        }
        long limit = mBounds.headerTimeout().toNanos();
        if (mRequestHead == null && now - mReceivingSinceNanos > limit) {
            reject(RefusalReason.HEADER_TIMEOUT, "the request head did not arrive in time");
        } else if (mRequestHead != null
                && now - mReceivingSinceNanos > limit + EXTRA_BODY_TIMEOUT.toNanos()) {
            reject(RefusalReason.BODY_TIMEOUT, "the request body did not arrive in time");
        }
        return false;
    }

    /**
     * Closes the connection if it has had no active request for a time and is not receiving one.
     *
     * @param minIdle time in which a request that the caller has already sent arrives
     * @return whether it was closed
     */
    boolean closeIfIdle(long now, Duration minIdle) {
        if (isBusy() || mClosing || now - mIdleSinceNanos < minIdle.toNanos()) {
            return false;
        }
        close("stop");
        return true;
    }

    /** Ends the active request, or the one that is being received, because the process exits. */
    void onShutdown() {
        if (mActiveRequest != null) {
            mActiveRequest.abandon(RefusalReason.NOT_READY, "the process is stopping");
        } else if (isBusy() && !mClosing) {
            reject(RefusalReason.NOT_READY, "the process is stopping");
        }
    }

    boolean isBusy() {
        return mActiveRequest != null || mReceivingSinceNanos >= 0;
    }

    /** Returns the identifier of the active request; empty if there is none. */
    Optional<String> activeRequestId() {
        return mActiveRequest == null ? Optional.empty() : Optional.of(mActiveId);
    }

    String peer() {
        return mTrace.peer();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            logDiscarded(List.of(message));
            ReferenceCountUtil.release(message);
            return;
        }
        if (mActiveRequest != null) {
            mQueuedMessages.add(message);
            if (mQueuedMessages.size() > MAX_QUEUED_MESSAGES) {
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
        if (message instanceof HttpRequest head) {
            mPartialHead = Optional.of(head);
        }
        if (((HttpObject) message).decoderResult().isFailure()) {
            onDecoderFailure(((HttpObject) message).decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mRequestHead != null) {
            readBody(content);
        }
    }

    private void onDecoderFailure(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        reject(
                tooLong ? RefusalReason.HEADER_TOO_LARGE : RefusalReason.BAD_REQUEST,
                String.valueOf(cause.getMessage()));
    }

    private void readHead(HttpRequest head) {
        mHeadReceivedAt = ClockReading.now(mGateway.time());
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mIsHeadRequest = head.method().equals(HttpMethod.HEAD);
        mAcceptsChunks = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        Optional<String> problem = RequestValidator.findProblem(head);
        if (problem.isPresent()) {
            reject(RefusalReason.BAD_REQUEST, problem.get());
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > mBounds.bodyBytes()) {
            reject(
                    RefusalReason.BODY_TOO_LARGE,
                    "the body exceeds " + mBounds.bodyBytes() + " bytes");
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        mRequestHead = head;
        mRequestBody = Unpooled.compositeBuffer(1024);
    }

    private void readBody(HttpContent content) {
        ByteBuf data = content.content();
        if (mRequestBody.readableBytes() + (long) data.readableBytes() > mBounds.bodyBytes()) {
            reject(
                    RefusalReason.BODY_TOO_LARGE,
                    "the body exceeds " + mBounds.bodyBytes() + " bytes");
            return;
        }
        if (data.isReadable()) {
            mRequestBody.addComponent(true, data.retain());
        }
        if (content instanceof LastHttpContent) {
            startRequest();
        }
    }

    private void startRequest() {
        String id = mRequestHead.headers().get(PlatformHeaders.REQUEST_ID, "");
        CallerRequest request =
                new CallerRequest(
                        id,
                        mRequestHead.method(),
                        mRequestHead.uri(),
                        mRequestHead.headers(),
                        mRequestBody,
                        mReceivingSinceNanos,
                        mHeadReceivedAt);
        mRequestHead = null;
        mRequestBody = null;
        mReceivingSinceNanos = -1;
        mReceivedBytes = 0;
        mPartialHead = Optional.empty();
        mActiveId = id;
        ForwardedRequest forwarded = new ForwardedRequest(mGateway, request, this);
        mActiveRequest = forwarded;
        mGateway.guard().run(cause -> onCallbackFailed(forwarded, id, cause), forwarded::start);
    }

    /** Ends a request of which a callback threw, unless it has had its end. */
    private void onCallbackFailed(ForwardedRequest failed, String id, Throwable cause) {
        try {
            mGateway.metrics().onCallbackFailed("request");
            mGateway.log().event("callback-failed", id).with("owner", "request").warn(cause);
            if (mActiveRequest == failed) {
                failed.abandon(RefusalReason.INTERNAL, "a callback of this entry failed");
            }
        } finally {
            if (mActiveRequest == failed) {
                abort();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mReceivingSinceNanos >= 0 && !mClosing) {
            mTrace.abandoned(mEndCause, partialRequest());
        }
        mClosing = true;
        releaseInput();
        ForwardedRequest running = mActiveRequest;
        mActiveRequest = null;
        if (running != null) {
            running.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeAfter(cause);
    }

    /**
     * Closes the connection because it failed, or a callback for it threw. The active request is
     * cancelled then.
     */
    void closeAfter(Throwable cause) {
        mChannel.close();
        mTrace.failed(cause, activeRequestId().orElse(""), isBusy());
        mEndCause = "connection failed";
        if (!(cause instanceof IOException)) {
            mGateway.metrics().onCallbackFailed("caller-connection");
            mGateway.log().event("callback-failed").with("owner", "caller-connection").warn(cause);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mActiveRequest != null) {
            mActiveRequest.onWritabilityChanged(mChannel.isWritable());
        }
    }

    @Override
    public void sendHead(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        boolean hasLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH) || mIsHeadRequest;
        if (!hasLength && mAcceptsChunks) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (!hasLength) {
            mEndsBodyByClosing = true;
            mKeepAlive = false;
        }
        setConnectionHeader(headers);
        mChannel.write(response);
    }

    @Override
    public void sendBody(ByteBuf data) {
        mChannel.writeAndFlush(new DefaultHttpContent(data));
    }

    @Override
    public void sendEnd() {
        finish(mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, ByteBuf body) {
        if (!mIsHeadRequest) {
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
        sendResponse(
                refusal.reason().status(),
                headers,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    @Override
    public void abort() {
        mActiveRequest = null;
        if (mEndsBodyByClosing) {
            // Without lingering, closing resets the connection.
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        close("response cut off");
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
        String id = mActiveId;
        mActiveRequest = null;
        mIdleSinceNanos = mGateway.time().nanoTime();
        written.addListener(done -> onWritten(done, id));
        if (!mKeepAlive) {
            mClosing = true;
            mEndCause = mGateway.isStopping() ? "stop" : "last response";
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        // Scheduled as a separate task, so that immediate responses do not cause recursion.
        if (!mQueuedMessages.isEmpty()) {
            mChannel.eventLoop()
                    .execute(() -> mGateway.guard().run(this::closeAfter, this::readQueued));
        }
    }

    private void onWritten(Future<? super Void> written, String id) {
        if (!written.isSuccess()) {
            mTrace.notDelivered(written.cause(), id);
        }
    }

    private void readQueued() {
        while (mActiveRequest == null && !mClosing && !mQueuedMessages.isEmpty()) {
            onBytesReceived(0);
            Object message = mQueuedMessages.poll();
            try {
                read(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        if (mQueuedMessages.size() <= MAX_QUEUED_MESSAGES && !mClosing) {
            mChannel.config().setAutoRead(true);
        }
    }

    /** Refuses a request that was not fully read, and closes the connection. */
    private void reject(RefusalReason reason, String detail) {
        mKeepAlive = false;
        PartialRequest received = partialRequest();
        mTrace.rejected(reason, detail, received);
        mActiveId = received.id();
        mEndCause = "request rejected";
        releaseInput();
        refuse(Refusal.notRun(reason, detail));
    }

    private PartialRequest partialRequest() {
        return mPartialHead
                .map(head -> PartialRequest.of(head, mReceivedBytes))
                .orElseGet(() -> PartialRequest.withoutHead(mReceivedBytes));
    }

    private void logDiscarded(Collection<Object> messages) {
        List<String> ids =
                messages.stream()
                        .filter(HttpRequest.class::isInstance)
                        .map(head -> PartialRequest.of((HttpRequest) head, 0).id())
                        .toList();
        if (!ids.isEmpty()) {
            mTrace.discarded(mEndCause, ids);
        }
    }

    private void releaseInput() {
        logDiscarded(mQueuedMessages);
        mPartialHead = Optional.empty();
        mRequestHead = null;
        if (mRequestBody != null) {
            mRequestBody.release();
            mRequestBody = null;
        }
        while (!mQueuedMessages.isEmpty()) {
            ReferenceCountUtil.release(mQueuedMessages.poll());
        }
    }

    private void close(String cause) {
        mEndCause = cause;
        mClosing = true;
        mChannel.close();
    }
}
