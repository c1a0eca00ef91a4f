package org.boragethread.standins.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** TCP proxy that relays connections to a target and injects faults into them. */
public final class FaultProxy implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long STOP_GRACE_MS = 500;

    private final EventLoopGroup mLoops = new NioEventLoopGroup(1);
    private final SplittableRandom mRandom;
    private final ProxyCounters mCounters = new ProxyCounters();
    private final Set<RelayedConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final Channel mServer;
    private volatile InetSocketAddress mTarget;
    private volatile FaultPlan mPlan = FaultPlan.always(ConnectionFaults.NONE);

    private FaultProxy(InetSocketAddress target, long seed) {
        mTarget = target;
        mRandom = new SplittableRandom(seed);
        mServer = listen();
    }

    /**
     * Starts a proxy on a free loopback port, without faults.
     *
     * @param target address as {@code host:port}
     * @param seed seed of the random numbers that the fault plan uses
     */
    public static FaultProxy start(String target, long seed) {
        return new FaultProxy(parse(target), seed);
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return HOST + ":" + port();
    }

    /** Returns the port that the proxy listens on. */
    public int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    /** Changes the target of new connections; open ones keep theirs. */
    public void setTarget(String target) {
        mTarget = parse(target);
    }

    /** Sets the plan for the faults of new connections; open ones keep their faults. */
    public void setFaultPlan(FaultPlan plan) {
        mPlan = plan;
    }

    /** Sets the faults of all open and all new connections. */
    public void setFaults(ConnectionFaults faults) {
        mPlan = FaultPlan.always(faults);
        for (RelayedConnection connection : mConnections) {
            connection.toTarget().setFault(faults.toTarget());
            connection.toClient().setFault(faults.toClient());
        }
    }

    /** Closes all open connections. */
    public void closeConnections() {
        mConnections.forEach(
                connection ->
                        connection
                                .client()
                                .eventLoop()
                                .execute(connection.toTarget()::closeConnection));
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return mConnections.size();
    }

    /** Returns the counters since the start. */
    public ProxyStats stats() {
        return mCounters.snapshot();
    }

    @Override
    public void close() {
        mServer.close().syncUninterruptibly();
        mLoops.shutdownGracefully(0, STOP_GRACE_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Channel listen() {
        ChannelHandler initializer =
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        connectToTarget(client);
                    }
                };
        return new ServerBootstrap()
                .group(mLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer)
                .bind(HOST, 0)
                .syncUninterruptibly()
                .channel();
    }

    private void connectToTarget(Channel client) {
        mCounters.accepted().increment();
        ChannelFuture connected =
                new Bootstrap()
                        .group(client.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(mTarget);
        connected.addListener(
                done -> {
                    if (done.isSuccess()) {
                        relay(client, connected.channel());
                    } else {
                        mCounters.refused().increment();
                        client.close();
                    }
                });
    }

    private void relay(Channel client, Channel target) {
        ConnectionFaults faults = mPlan.next(mRandom);
        DirectionRelay toTarget = new DirectionRelay(client, target, faults.toTarget(), mCounters);
        DirectionRelay toClient = new DirectionRelay(target, client, faults.toClient(), mCounters);
        RelayedConnection connection = new RelayedConnection(client, toTarget, toClient);
        mConnections.add(connection);
        client.closeFuture()
                .addListener(
                        closed -> {
                            mConnections.remove(connection);
                            mCounters.closed().increment();
                        });
        client.pipeline().addLast(toTarget);
        target.pipeline().addLast(toClient);
        client.config().setAutoRead(true);
        target.config().setAutoRead(true);
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new InetSocketAddress(address.substring(0, colon), port);
    }

    /** A relayed connection and its two directions. */
    private record RelayedConnection(
            Channel client, DirectionRelay toTarget, DirectionRelay toClient) {}
}
