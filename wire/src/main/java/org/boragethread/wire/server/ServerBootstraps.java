package org.boragethread.wire.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.function.Consumer;

/** Creates bootstraps of servers that accept TCP connections. */
public final class ServerBootstraps {

    private ServerBootstraps() {}

    /** Returns an unbound server bootstrap that initializes each connection with the given task. */
    public static ServerBootstrap create(
            EventLoopGroup loops, Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initializer.accept(channel);
                            }
                        });
    }
}
