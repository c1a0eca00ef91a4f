package org.boragethread.wire.frame;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.wire.proto.Frame;

/**
 * Common part of both sides: closes the connection on a damaged, overlong or unexpected frame or on
 * silence, and reports the first reason exactly once.
 */
public abstract class FrameHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

    private final WireEvents mEvents;
    private final ConfigExchange mConfig;
    private final TimeSource mTime;
    private CloseReason mReason;
    private boolean mPulling;
    private long mPulledAtNanos;

    /** Reports to the given receiver and exchanges configuration with the given source. */
    protected FrameHandler(WireEvents events, ConfigSource config, TimeSource time) {
        mEvents = Objects.requireNonNull(events, "events");
        mConfig = new ConfigExchange(config);
        mTime = Objects.requireNonNull(time, "time");
    }

    /** Returns the clock. */
    protected final TimeSource time() {
        return mTime;
    }

    /** Returns the receiver of countable events. */
    protected final WireEvents events() {
        return mEvents;
    }

    /** Sends a frame that carries this process's configuration revision. */
    protected final ChannelFuture send(ChannelHandlerContext context, Frame.Builder frame) {
        frame.setConfigRevisionPlusOne(mConfig.revisionPlusOne());
        return context.writeAndFlush(frame.build());
    }

    /** Asks for newer configuration if the other side has it. */
    protected final void compareRevisions(ChannelHandlerContext context, Frame frame) {
        if (mPulling && mTime.since(mPulledAtNanos).compareTo(PULL_TIMEOUT) < 0) {
            return;
        }
        Optional<Frame.Builder> pull = mConfig.pullFor(frame.getConfigRevisionPlusOne());
        if (pull.isEmpty()) {
            return;
        }
        mPulling = true;
        mPulledAtNanos = mTime.nanoTime();
        send(context, pull.get());
    }

    /**
     * Handles the frames of the configuration exchange.
     *
     * @return whether the frame was one of them
     */
    protected final boolean handleConfigFrame(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case CONFIG_PULL:
                mConfig.answer(frame.getConfigPull()).forEach(answer -> send(context, answer));
                return true;
            case CONFIG_DELTA:
                mPulling = false;
                mConfig.accept(frame.getConfigDelta());
                return true;
            case CONFIG_SNAPSHOT:
                mPulling = !mConfig.accept(frame.getConfigSnapshot());
                return true;
            default:
                return false;
        }
    }

    /** Closes the connection for a reason; only the first reason counts. */
    protected final void close(ChannelHandlerContext context, CloseReason reason) {
        if (mReason == null) {
            mReason = reason;
        }
        context.close();
    }

    /** Releases what belongs to the connection. Called once, on the event loop. */
    protected abstract void onClosed(CloseReason reason);

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        CloseReason reason = mReason == null ? CloseReason.CLOSED_BY_PEER : mReason;
        mEvents.closed(reason);
        onClosed(reason);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            close(context, CloseReason.SILENT);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(context, reasonFor(cause));
    }

    private static CloseReason reasonFor(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return CloseReason.FRAME_TOO_LARGE;
        }
        if (cause.getCause() instanceof InvalidProtocolBufferException) {
            return CloseReason.DAMAGED_FRAME;
        }
        if (cause instanceof IOException) {
            return CloseReason.CLOSED_BY_PEER;
        }
        return CloseReason.DAMAGED_FRAME;
    }
}
