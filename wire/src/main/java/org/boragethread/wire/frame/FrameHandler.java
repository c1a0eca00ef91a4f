package org.boragethread.wire.frame;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.TimeSource;
import org.boragethread.wire.proto.Frame;

/**
 * Base class of the handlers for both ends of a connection. Closes the connection after a
 * corrupted, too long or unexpected frame and after an idle timeout, and reports the first reason
 * exactly once. Also exchanges configuration with the peer.
 */
public abstract class FrameHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LogManager.getLogger(FrameHandler.class);

    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

    private final WireEvents mEvents;
    private final ConfigExchange mConfig;
    private final TimeSource mTime;
    private CloseReason mCloseReason;
    private boolean mPullPending;
    private long mPullSentAtNanos;

    /**
     * Creates a handler.
     *
     * @param events receives the reason for which the connection is closed
     * @param config configuration to exchange with the peer
     */
    protected FrameHandler(WireEvents events, ConfigSource config, TimeSource time) {
        mEvents = Objects.requireNonNull(events, "events");
        mConfig = new ConfigExchange(config);
        mTime = Objects.requireNonNull(time, "time");
    }

    /** Returns the time source. */
    protected final TimeSource time() {
        return mTime;
    }

    /** Returns the receiver of connection events. */
    protected final WireEvents events() {
        return mEvents;
    }

    /** Sends a frame, adding the configuration revision of this process. */
    protected final ChannelFuture send(ChannelHandlerContext context, Frame.Builder frame) {
        frame.setConfigRevisionPlusOne(mConfig.revisionPlusOne());
        return context.writeAndFlush(frame.build());
    }

    /** Requests the configuration of the peer if the frame announces a newer revision. */
    protected final void pullNewerConfig(ChannelHandlerContext context, Frame frame) {
        if (mPullPending && mTime.since(mPullSentAtNanos).compareTo(PULL_TIMEOUT) < 0) {
            return;
        }
        Optional<Frame.Builder> pull = mConfig.createPull(frame.getConfigRevisionPlusOne());
        if (pull.isEmpty()) {
            return;
        }
        mPullPending = true;
        mPullSentAtNanos = mTime.nanoTime();
        send(context, pull.get());
    }

    /**
     * Handles the frames of the configuration exchange.
     *
     * @return whether the frame belongs to the configuration exchange
     */
    protected final boolean handleConfigFrame(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case CONFIG_PULL:
                mConfig.respond(frame.getConfigPull()).forEach(response -> send(context, response));
                return true;
            case CONFIG_DELTA:
                mPullPending = false;
                mConfig.receive(frame.getConfigDelta());
                return true;
            case CONFIG_SNAPSHOT:
                mPullPending = !mConfig.receive(frame.getConfigSnapshot());
                return true;
            default:
                return false;
        }
    }

    /** Closes the connection; if this is called repeatedly, the first reason is reported. */
    protected final void close(ChannelHandlerContext context, CloseReason reason) {
        if (mCloseReason == null) {
            mCloseReason = reason;
        }
        context.close();
    }

    /**
     * Runs a callback; one that throws is logged and counted.
     *
     * @param subject what the callback acts for, for example a call
     * @return whether it returned without an exception
     */
    protected final boolean attempt(Object subject, Runnable callback) {
        try {
            callback.run();
            return true;
        } catch (RuntimeException | Error e) {
            mEvents.onCallbackFailed();
            LOGGER.error("callback for {} failed", subject, e);
            return false;
        }
    }

    /** Releases the resources of the connection. Called once, on the event loop. */
    protected abstract void onClosed(CloseReason reason);

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        CloseReason reason = mCloseReason == null ? CloseReason.CLOSED_BY_PEER : mCloseReason;
        attempt("a closed connection", () -> mEvents.onClosed(reason));
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
        CloseReason reason = closeReasonFor(cause);
        if (reason == CloseReason.HANDLER_FAILED) {
            mEvents.onCallbackFailed();
            LOGGER.error("handler of connection {} failed", context.channel(), cause);
        }
        close(context, reason);
    }

    private static CloseReason closeReasonFor(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return CloseReason.FRAME_TOO_LARGE;
        }
        if (cause instanceof DecoderException) {
            return CloseReason.DAMAGED_FRAME;
        }
        if (cause instanceof IOException) {
            return CloseReason.CLOSED_BY_PEER;
        }
        return CloseReason.HANDLER_FAILED;
    }
}
