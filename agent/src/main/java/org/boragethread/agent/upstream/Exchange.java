package org.boragethread.agent.upstream;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * One request and its response on one connection. The lock is held only for state changes, not
 * during I/O or calls of the listener.
 */
final class Exchange implements UpstreamExchange {

    private static final int OK = 200;

    private final GrizzlyUpstreamClient mClient;
    private final InetSocketAddress mAddress;
    private final UpstreamRequest mRequest;
    private final UpstreamListener mListener;

    private Connection<?> mConnection;
    private boolean mReused;
    private boolean mHeadReceived;
    private boolean mDone;
    private Optional<FilterChainContext> mSuspended = Optional.empty();

    Exchange(
            GrizzlyUpstreamClient client,
            InetSocketAddress address,
            UpstreamRequest request,
            UpstreamListener listener) {
        mClient = client;
        mAddress = address;
        mRequest = request;
        mListener = listener;
    }

    /** Sends the request on a connection, which this exchange uses exclusively until it ends. */
    void start(Connection<?> connection, boolean reused) {
        synchronized (this) {
            if (mDone) {
                connection.closeSilently();
                return;
            }
            mConnection = connection;
            mReused = reused;
        }
        ExchangeFilter.attach(connection, this);
        if (!connection.isOpen()) {
            ExchangeFilter.detach(connection);
            onClosed();
            return;
        }
        write(connection);
    }

    @SuppressWarnings("unchecked")
    private void write(Connection<?> connection) {
        HttpRequestPacket.Builder head =
                HttpRequestPacket.builder()
                        .method(Method.POST)
                        .uri(mRequest.path())
                        .protocol(Protocol.HTTP_1_1)
                        .header("Host", mAddress.getHostString() + ":" + mAddress.getPort())
                        .contentType(mRequest.contentType())
                        .contentLength(mRequest.body().size());
        mRequest.headers().forEach(header -> head.header(header.name(), header.value()));
        Buffer body =
                Buffers.wrap(
                        MemoryManager.DEFAULT_MEMORY_MANAGER,
                        mRequest.body().asReadOnlyByteBuffer());
        HttpContent message = HttpContent.builder(head.build()).content(body).last(true).build();
        ((Connection<Object>) connection)
                .write(
                        message,
                        new EmptyCompletionHandler<WriteResult<HttpContent, Object>>() {
                            @Override
                            public void failed(Throwable cause) {
                                connection.closeSilently();
                            }
                        });
    }

    /** Handles a part of the response; returns whether to continue reading. */
    boolean onContent(HttpContent content, FilterChainContext context) {
        HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
        if (isDone()) {
            return true;
        }
        if (!mHeadReceived) {
            mHeadReceived = true;
            if (!response.isChunked() && response.getContentLength() < 0) {
                fail(true, "the response has neither a content length nor chunked encoding");
                return true;
            }
            mListener.onHead(head(response));
        }
        boolean continueReading = deliver(content);
        if (content.isLast()) {
            end(response);
            return true;
        }
        if (!continueReading) {
            suspend(context);
        }
        return continueReading;
    }

    private boolean deliver(HttpContent content) {
        if (!content.getContent().hasRemaining()) {
            return true;
        }
        return mListener.onData(ByteString.copyFrom(content.getContent().toByteBuffer()));
    }

    private void suspend(FilterChainContext context) {
        context.suspend();
        synchronized (this) {
            mSuspended = Optional.of(context);
        }
        if (mListener.wantsMore()) {
            resume();
        }
    }

    private void end(HttpResponsePacket response) {
        if (!finish()) {
            return;
        }
        ExchangeFilter.detach(mConnection);
        if (response.getProcessingState().isKeepAlive()) {
            mClient.release(mConnection);
        } else {
            mConnection.closeSilently();
        }
        mListener.onEnd();
    }

    private static UpstreamHead head(HttpResponsePacket response) {
        return new UpstreamHead(
                response.getStatus(),
                Optional.ofNullable(response.getContentType()).orElse("application/octet-stream"),
                response.getStatus() != OK && "no".equalsIgnoreCase(response.getHeader("Ran")),
                retryAfter(response.getHeader("Retry-After")),
                Optional.ofNullable(response.getHeader("Upstream-Load")));
    }

    private static Optional<Duration> retryAfter(String seconds) {
        if (seconds == null || !seconds.matches("\\d{1,6}")) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofSeconds(Long.parseLong(seconds)));
    }

    /**
     * Handles the close of the connection before the response was complete. An idempotent request
     * on a reused connection is sent once more on a new connection if no response has begun.
     */
    void onClosed() {
        mClient.removeIdle(mConnection);
        boolean retry;
        synchronized (this) {
            retry = mReused && !mHeadReceived && mRequest.idempotent() && !mDone;
            mReused = false;
        }
        if (retry) {
            mClient.connect(this);
            return;
        }
        fail(true, "the upstream closed the connection before the response was complete");
    }

    /** Handles a response that is not valid HTTP; the request may have run. */
    void onInvalid(String detail) {
        fail(true, detail);
    }

    void failBeforeSend(String detail) {
        fail(false, detail);
    }

    private void fail(boolean sent, String detail) {
        if (!finish()) {
            return;
        }
        closeConnection();
        mListener.onFailure(new UpstreamFailure(sent, detail));
    }

    @Override
    public void cancel() {
        if (finish()) {
            closeConnection();
        }
    }

    private void closeConnection() {
        Connection<?> connection;
        synchronized (this) {
            connection = mConnection;
        }
        if (connection != null) {
            ExchangeFilter.detach(connection);
            connection.closeSilently();
        }
        resume();
    }

    @Override
    public void resume() {
        Optional<FilterChainContext> suspended;
        synchronized (this) {
            suspended = mSuspended;
            mSuspended = Optional.empty();
        }
        suspended.ifPresent(FilterChainContext::resumeNext);
    }

    private synchronized boolean finish() {
        boolean first = !mDone;
        mDone = true;
        return first;
    }

    private synchronized boolean isDone() {
        return mDone;
    }
}
