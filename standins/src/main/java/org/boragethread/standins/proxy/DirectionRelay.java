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

/** Relays one direction of a connection: reads from one channel and writes to the other. */
final class DirectionRelay extends ChannelInboundHandlerAdapter implements FilterOutput {

    private final Channel mSource;
    private final Channel mSink;
    private final ProxyCounters mCounters;
    private FaultFilter mFilter;
    private boolean mSourceClosed;

    /** Creates a relay; both channels must share an event loop. */
    DirectionRelay(Channel source, Channel sink, Fault fault, ProxyCounters counters) {
        mSource = source;
        mSink = sink;
        mFilter = fault.newFilter();
        mCounters = counters;
    }

    /** Replaces the fault; its byte positions count from now on. */
    void setFault(Fault fault) {
        mSource.eventLoop().execute(() -> mFilter = fault.newFilter());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        mCounters.bytes().add(bytes.readableBytes());
        mFilter.filter(bytes, this);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            mFilter.end(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mSourceClosed = true;
        mFilter.end(this);
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
        if (mSourceClosed) {
            closeAfterWrites(mSink);
        } else if (mSink.isActive()) {
            ((SocketChannel) mSink).shutdownOutput();
        }
    }

    @Override
    public void closeConnection() {
        mCounters.closedByFault().increment();
        closeAfterWrites(mSink);
        closeAfterWrites(mSource);
    }

    @Override
    public void resetConnection() {
        mCounters.closedByFault().increment();
        resetChannel(mSink);
        resetChannel(mSource);
    }

    @Override
    public void schedule(long delay, TimeUnit unit, Runnable action) {
        mSource.eventLoop().schedule(action, delay, unit);
    }

    private static void closeAfterWrites(Channel channel) {
        if (channel.isActive()) {
            channel.writeAndFlush(channel.alloc().buffer(0))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static void resetChannel(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
