package org.boragethread.wire.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.time.TimeSource;
import org.boragethread.wire.frame.CloseReason;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.FramePipeline;
import org.boragethread.wire.frame.WireEvents;
import org.boragethread.wire.frame.WireSettings;

/** Maintains a connection to one agent, reconnecting with exponential backoff until closed. */
public final class AgentConnector implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AgentConnector.class);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2000;

    private final InetSocketAddress mAddress;
    private final EntryIdentity mIdentity;
    private final WireSettings mSettings;
    private final WireEvents mEvents;
    private final ConfigSource mConfig;
    private final TimeSource mTime;
    private final LinkListener mListener;
    private final EventLoop mLoop;
    private final RandomGenerator mRandom;

    private long mBackoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean mClosed;
    private boolean mDraining;
    private volatile AgentLink mLink;

    private AgentConnector(Builder builder) {
        mAddress = Objects.requireNonNull(builder.mAddress, "address");
        mIdentity = Objects.requireNonNull(builder.mIdentity, "identity");
        mSettings = Objects.requireNonNull(builder.mSettings, "settings");
        mEvents = builder.mEvents;
        mConfig = Objects.requireNonNull(builder.mConfig, "config");
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mListener = Objects.requireNonNull(builder.mListener, "listener");
        mLoop = Objects.requireNonNull(builder.mGroup, "group").next();
        mRandom = Objects.requireNonNull(builder.mRandom, "random");
    }

    /** Starts connecting, asynchronously. */
    public void start() {
        mLoop.execute(this::connect);
    }

    /** Sends the configuration revision of this process to the agent, if connected. */
    public void announceRevision() {
        AgentLink link = mLink;
        if (link != null) {
            link.sendPing();
        }
    }

    /** Returns whether a TCP connection to the agent is open. */
    public boolean isConnected() {
        return mLink != null;
    }

    /** Sets whether the agent gets no new calls, for example because its VM is leaving. */
    public void setDraining(boolean draining) {
        mLoop.execute(() -> setDrainingInLoop(draining));
    }

    private void setDrainingInLoop(boolean draining) {
        mDraining = draining;
        if (mLink != null) {
            mLink.setDraining(draining);
        }
    }

    /** Closes the connection and stops reconnecting. */
    @Override
    public void close() {
        mLoop.execute(this::closeInLoop);
    }

    private void closeInLoop() {
        mClosed = true;
        if (mLink != null) {
            mLink.disconnect();
        }
    }

    private void connect() {
        if (mClosed) {
            return;
        }
        try {
            openConnection();
        } catch (RuntimeException | Error e) {
            onCallbackFailed(e);
            scheduleReconnect();
        }
    }

    private void onCallbackFailed(Throwable cause) {
        mEvents.onCallbackFailed();
        LOGGER.error("a callback for the connection to agent {} failed", mAddress, cause);
    }

    private void openConnection() {
        AgentLink link =
                new AgentLink(
                        mIdentity, mSettings, mEvents, mConfig, mTime, new BackoffResetListener());
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) CONNECT_TIMEOUT.toMillis())
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        FramePipeline.addTo(channel.pipeline(), mSettings);
                                        channel.pipeline().addLast(link);
                                    }
                                });
        ChannelFuture future = bootstrap.connect(mAddress);
        // An attempt that fails at once notifies its listener on another thread.
        future.addListener(completed -> mLoop.execute(() -> onConnected(future, link)));
    }

    private void onConnected(ChannelFuture future, AgentLink link) {
        if (!future.isSuccess()) {
            try {
                mEvents.onClosed(CloseReason.CONNECT_FAILED);
            } catch (RuntimeException | Error e) {
                onCallbackFailed(e);
            } finally {
                scheduleReconnect();
            }
            return;
        }
        mLink = link;
        link.setDraining(mDraining);
        future.channel().closeFuture().addListener(closed -> scheduleReconnect());
        if (mClosed) {
            link.disconnect();
        }
    }

    private void scheduleReconnect() {
        mLink = null;
        if (mClosed) {
            return;
        }
        long delay = mRandom.nextLong(mBackoffMillis / 2, mBackoffMillis + 1);
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
        mLoop.schedule(this::connect, delay, TimeUnit.MILLISECONDS);
    }

    /** Resets the backoff after a successful handshake. */
    private final class BackoffResetListener implements LinkListener {

        @Override
        public void onUp(UpstreamLink link) {
            mBackoffMillis = INITIAL_BACKOFF_MILLIS;
            mListener.onUp(link);
        }

        @Override
        public void onDown(UpstreamLink link) {
            mListener.onDown(link);
        }
    }

    /** Builds connectors. */
    public static final class Builder {
        private InetSocketAddress mAddress;
        private EntryIdentity mIdentity;
        private WireSettings mSettings;
        private WireEvents mEvents = WireEvents.NONE;
        private ConfigSource mConfig;
        private TimeSource mTime;
        private LinkListener mListener;
        private EventLoopGroup mGroup;
        private RandomGenerator mRandom;

        /** Sets the address of the agent. */
        public Builder address(InetSocketAddress address) {
            mAddress = address;
            return this;
        }

        /** Sets the identity of this entry. */
        public Builder identity(EntryIdentity identity) {
            mIdentity = identity;
            return this;
        }

        /** Sets the connection settings. */
        public Builder settings(WireSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the receiver of connection events; by default, they are ignored. */
        public Builder events(WireEvents events) {
            mEvents = events;
            return this;
        }

        /** Sets the configuration that is exchanged with the agent. */
        public Builder config(ConfigSource config) {
            mConfig = config;
            return this;
        }

        /** Sets the time source. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the listener for established and closed connections. */
        public Builder listener(LinkListener listener) {
            mListener = listener;
            return this;
        }

        /** Sets the event loop group; one of its loops runs the connection. */
        public Builder group(EventLoopGroup group) {
            mGroup = group;
            return this;
        }

        /** Sets the random generator for backoff jitter. */
        public Builder random(RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Creates a connector, which is not yet started. */
        public AgentConnector build() {
            return new AgentConnector(this);
        }
    }
}
