package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/** One direction of a proxied connection: reads one side and writes the other. */
final class Link extends ChannelInboundHandlerAdapter implements Outlet {

    private final Channel mSource;
    private final Channel mSink;
    private final ProxyCounters mCounters;
    private Flow mFlow;
    private boolean mClosed;

    /** Makes a direction; both channels must share an event loop. */
    Link(Channel source, Channel sink, Fault fault, ProxyCounters counters) {
        mSource = source;
        mSink = sink;
        mFlow = fault.open();
        mCounters = counters;
    }

    /** Replaces the fault; it counts bytes from now on. */
    void setFault(Fault fault) {
        mSource.eventLoop().execute(() -> mFlow = fault.open());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        mCounters.bytes().add(bytes.readableBytes());
        mFlow.pass(bytes, this);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            mFlow.end(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed = true;
        mFlow.end(this);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mSink.config().setAutoRead(mSource.isWritable());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    public void write(ByteBuf bytes) {
        if (mSink.isActive()) {
            mSink.writeAndFlush(bytes);
        } else {
            bytes.release();
        }
    }

    @Override
    public void end() {
        if (mClosed) {
            closeAfterWrites(mSink);
        } else if (mSink.isActive()) {
            ((SocketChannel) mSink).shutdownOutput();
        }
    }

    @Override
    public void cut() {
        mCounters.cut().increment();
        closeAfterWrites(mSink);
        closeAfterWrites(mSource);
    }

    @Override
    public void reset() {
        mCounters.cut().increment();
        resetSide(mSink);
        resetSide(mSource);
    }

    @Override
    public void later(long delay, TimeUnit unit, Runnable action) {
        mSource.eventLoop().schedule(action, delay, unit);
    }

    private static void closeAfterWrites(Channel channel) {
        if (channel.isActive()) {
            channel.writeAndFlush(channel.alloc().buffer(0))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static void resetSide(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
