package org.boragethread.entry.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.wire.server.Servers;

/** Accepts callers' connections. Confined to one event loop, except for opening and closing. */
final class CallerListener {

    private static final int BACKLOG = 1024;
    private static final int MAX_CHUNK_BYTES = 65536;

    private final Gateway mGateway;
    private final EventLoopGroup mLoops;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private Channel mChannel;

    CallerListener(Gateway gateway, EventLoopGroup loops) {
        mGateway = gateway;
        mLoops = loops;
    }

    void open(InetSocketAddress address) throws InterruptedException {
        mChannel =
                Servers.accepting(mLoops, this::accept)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address)
                        .sync()
                        .channel();
    }

    private void accept(SocketChannel channel) {
        CallerBounds bounds =
                mGateway.routing().config().map(RoutingConfig::bounds).orElse(CallerBounds.INITIAL);
        CallerConnection connection = new CallerConnection(mGateway, channel, bounds);
        mConnections.add(connection);
        channel.closeFuture().addListener(done -> mConnections.remove(connection));
        channel.pipeline()
                .addLast(new ByteWatch(connection))
                .addLast(new StrictDecoder(bounds.headerBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Closes connections that have been idle or slow for too long. */
    void checkTimes() {
        long now = mGateway.time().nanoTime();
        new ArrayList<>(mConnections).forEach(connection -> connection.checkTimes(now));
    }

    /** Takes no more connections, and closes those that carry no request. */
    void close() {
        mChannel.close();
        new ArrayList<>(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    int open() {
        return mConnections.size();
    }

    boolean isBusy() {
        return mConnections.stream().anyMatch(CallerConnection::isBusy);
    }

    /** Leaves ambiguous framing as it is, so that it can be refused. */
    private static final class StrictDecoder extends HttpRequestDecoder {

        StrictDecoder(int headerBytes) {
            super(headerBytes, headerBytes, MAX_CHUNK_BYTES);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            // Both headers stay; RequestChecks refuses the request.
        }
    }

    /** Tells a connection that bytes arrived. */
    private static final class ByteWatch extends ChannelInboundHandlerAdapter {

        private final CallerConnection mConnection;

        ByteWatch(CallerConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mConnection.onBytes();
            context.fireChannelRead(message);
        }
    }
}
