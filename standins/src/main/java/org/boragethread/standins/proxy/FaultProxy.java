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

/** Passes TCP connections on to a target and applies faults to them. */
public final class FaultProxy implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long STOP_GRACE_MS = 500;

    private final EventLoopGroup mLoops = new NioEventLoopGroup(1);
    private final SplittableRandom mRandom;
    private final ProxyCounters mCounters = new ProxyCounters();
    private final Set<Pair> mPairs = ConcurrentHashMap.newKeySet();
    private final Channel mServer;
    private volatile InetSocketAddress mTarget;
    private volatile FaultPlan mPlan = FaultPlan.always(LinkFaults.NONE);

    private FaultProxy(InetSocketAddress target, long seed) {
        mTarget = target;
        mRandom = new SplittableRandom(seed);
        mServer = listen();
    }

    /**
     * Starts a proxy on a free loopback port, without faults.
     *
     * @param target host and port as one text
     * @param seed seed of the fault plan's random numbers
     */
    public static FaultProxy start(String target, long seed) {
        return new FaultProxy(parse(target), seed);
    }

    /** Returns host and port as one text. */
    public String address() {
        return HOST + ":" + port();
    }

    /** Returns the port that the proxy listens on. */
    public int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    /** Sends new connections to another target. */
    public void setTarget(String target) {
        mTarget = parse(target);
    }

    /** Chooses the faults of new connections; present ones keep theirs. */
    public void setPlan(FaultPlan plan) {
        mPlan = plan;
    }

    /** Gives all present connections and the new ones the same faults. */
    public void setFaults(LinkFaults faults) {
        mPlan = FaultPlan.always(faults);
        for (Pair pair : mPairs) {
            pair.toTarget().setFault(faults.toTarget());
            pair.toClient().setFault(faults.toClient());
        }
    }

    /** Closes all present connections. */
    public void cutAll() {
        mPairs.forEach(pair -> pair.client().eventLoop().execute(pair.toTarget()::cut));
    }

    /** Returns the number of present connections. */
    public int open() {
        return mPairs.size();
    }

    /** Returns counts since the start. */
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
                        connect(client);
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

    private void connect(Channel client) {
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
                        join(client, connected.channel());
                    } else {
                        mCounters.refused().increment();
                        client.close();
                    }
                });
    }

    private void join(Channel client, Channel target) {
        LinkFaults faults = mPlan.next(mRandom);
        Link toTarget = new Link(client, target, faults.toTarget(), mCounters);
        Link toClient = new Link(target, client, faults.toClient(), mCounters);
        Pair pair = new Pair(client, toTarget, toClient);
        mPairs.add(pair);
        client.closeFuture()
                .addListener(
                        closed -> {
                            mPairs.remove(pair);
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

    /** The two directions of a connection. */
    private record Pair(Channel client, Link toTarget, Link toClient) {}
}
