package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.wire.server.ServerBootstraps;

/**
 * HTTP server for callers. Confined to one event loop, except for binding and closing the server
 * channel.
 */
final class CallerServer {

    private static final int BACKLOG = 1024;
    private static final int MAX_DECODED_CHUNK_BYTES = 65536;
    private static final int MAX_LOGGED_PEERS = 8;

    /** Maximum number of times that waiting connections are accepted at a stop, 16 each time. */
    private static final int MAX_LAST_POLLS = BACKLOG / 16;

    private final Gateway mGateway;
    private final EventLoopGroup mLoops;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private Channel mChannel;
    private long mAccepted;

    CallerServer(Gateway gateway, EventLoopGroup loops) {
        mGateway = gateway;
        mLoops = loops;
    }

    void bind(InetSocketAddress address) throws InterruptedException {
        mChannel =
                ServerBootstraps.create(mLoops, this::accept)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address)
                        .sync()
                        .channel();
    }

    private void accept(SocketChannel channel) {
        CallerBounds bounds =
                mGateway.routingTable()
                        .config()
                        .map(RoutingConfig::bounds)
                        .orElse(CallerBounds.INITIAL);
        CallerConnection connection = new CallerConnection(mGateway, channel, bounds);
        mConnections.add(connection);
        mAccepted++;
        channel.closeFuture().addListener(done -> mConnections.remove(connection));
        channel.pipeline()
                .addLast(new ReceiveObserver(connection))
                .addLast(new StrictRequestDecoder(bounds.headerBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Closes connections that exceeded the idle, header or body timeout. */
    void closeTimedOut() {
        long now = mGateway.time().nanoTime();
        logClosed("idle", forEach(connection -> connection.closeIfTimedOut(now)));
    }

    /** Logs connections without a request, with some of their callers' addresses. */
    private void logClosed(String cause, List<CallerConnection> closed) {
        if (closed.isEmpty()) {
            return;
        }
        String peers =
                closed.stream()
                        .limit(MAX_LOGGED_PEERS)
                        .map(CallerConnection::peer)
                        .collect(Collectors.joining(" "));
        mGateway.log()
                .event("connections-closed")
                .with("cause", cause)
                .with("connections", closed.size())
                .with("peers", peers)
                .info();
    }

    /**
     * Stops accepting connections once all are accepted that wait for it.
     *
     * @return a future that is done when no further connection will be accepted
     */
    Future<Void> stopAccepting() {
        Promise<Void> stopped = mChannel.eventLoop().newPromise();
        acceptRest(MAX_LAST_POLLS, stopped);
        return stopped;
    }

    private void acceptRest(int polls, Promise<Void> stopped) {
        long before = mAccepted;
        afterPoll(
                () -> {
                    if (mAccepted > before && polls > 1) {
                        acceptRest(polls - 1, stopped);
                        return;
                    }
                    mChannel.close().addListener(done -> stopped.setSuccess(null));
                });
    }

    /**
     * Runs a task after the event loop has read what has arrived by now. A busy loop may not have
     * read for longer than a connection has to be idle.
     */
    private void afterPoll(Runnable task) {
        // What is executed at the end of an iteration runs after the poll of the next one.
        SingleThreadEventLoop loop = (SingleThreadEventLoop) mChannel.eventLoop();
        loop.executeAfterEventLoopIteration(() -> loop.execute(mGateway.guard().bind(task)));
    }

    /** Closes the connections that have been idle for a time and have sent nothing by now. */
    void closeIdle(Duration minIdle) {
        afterPoll(
                () -> {
                    long now = mGateway.time().nanoTime();
                    logClosed("stop", forEach(connection -> connection.closeIfIdle(now, minIdle)));
                });
    }

    /** Responds to all requests that are still active, because the process exits. */
    void endActiveRequests() {
        forEach(
                connection -> {
                    connection.onShutdown();
                    return true;
                });
    }

    /**
     * Performs an action for each connection, also if it closes some of them; one whose action
     * throws is closed.
     *
     * @return the connections for which the action returned true
     */
    private List<CallerConnection> forEach(Predicate<CallerConnection> action) {
        List<CallerConnection> matching = new ArrayList<>();
        for (CallerConnection connection : List.copyOf(mConnections)) {
            mGateway.guard()
                    .run(
                            connection::closeAfter,
                            () -> {
                                if (action.test(connection)) {
                                    matching.add(connection);
                                }
                            });
        }
        return matching;
    }

    /** Returns the identifiers of the active requests. */
    List<String> activeRequestIds() {
        return mConnections.stream()
                .flatMap(connection -> connection.activeRequestId().stream())
                .toList();
    }

    /** Returns the connections that have an active request or are receiving one. */
    int busyCount() {
        return (int) mConnections.stream().filter(CallerConnection::isBusy).count();
    }

    int connectionCount() {
        return mConnections.size();
    }

    /** Keeps conflicting framing headers, so that the request can be rejected. */
    private static final class StrictRequestDecoder extends HttpRequestDecoder {

        StrictRequestDecoder(int headerBytes) {
            super(headerBytes, headerBytes, MAX_DECODED_CHUNK_BYTES);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            // Netty would drop Content-Length here. Both headers stay, and the request is rejected.
        }
    }

    /** Notifies a connection of received bytes before they are decoded. */
    private static final class ReceiveObserver extends ChannelInboundHandlerAdapter {

        private final CallerConnection mConnection;

        ReceiveObserver(CallerConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mConnection.onBytesReceived(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }
}
