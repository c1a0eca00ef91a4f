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
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.time.TimeSource;
import org.boragethread.wire.frame.CloseReason;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.FramePipeline;
import org.boragethread.wire.frame.WireEvents;
import org.boragethread.wire.frame.WireSettings;

/** Keeps one connection to one agent: connects again with back-off until it is closed. */
public final class AgentConnector implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long FIRST_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 2000;

    private final InetSocketAddress mAddress;
    private final EntryIdentity mIdentity;
    private final WireSettings mSettings;
    private final WireEvents mEvents;
    private final ConfigSource mConfig;
    private final TimeSource mTime;
    private final LinkListener mListener;
    private final EventLoop mLoop;
    private final RandomGenerator mRandom;

    private long mDelayMillis = FIRST_DELAY_MILLIS;
    private boolean mClosed;
    private boolean mRetired;
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

    /** Begins to connect. */
    public void start() {
        mLoop.execute(this::connect);
    }

    /** Tells the agent this process's configuration revision now. */
    public void announceRevision() {
        AgentLink link = mLink;
        if (link != null) {
            link.ping();
        }
    }

    /** Tells whether there is a connection. */
    public boolean isUp() {
        return mLink != null;
    }

    /** Keeps new calls from the agent because its VM is leaving, or allows them again. */
    public void setRetired(boolean retired) {
        mLoop.execute(() -> retireInLoop(retired));
    }

    private void retireInLoop(boolean retired) {
        mRetired = retired;
        if (mLink != null) {
            mLink.setRetired(retired);
        }
    }

    /** Ends the connection and stops connecting. */
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
        AgentLink link =
                new AgentLink(mIdentity, mSettings, mEvents, mConfig, mTime, new Tracker());
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
        future.addListener(done -> onConnected(future, link));
    }

    private void onConnected(ChannelFuture future, AgentLink link) {
        if (!future.isSuccess()) {
            mEvents.closed(CloseReason.CONNECT_FAILED);
            connectLater();
            return;
        }
        mLink = link;
        link.setRetired(mRetired);
        future.channel().closeFuture().addListener(closed -> connectLater());
        if (mClosed) {
            link.disconnect();
        }
    }

    private void connectLater() {
        mLink = null;
        if (mClosed) {
            return;
        }
        long delay = mRandom.nextLong(mDelayMillis / 2, mDelayMillis + 1);
        mDelayMillis = Math.min(MAX_DELAY_MILLIS, mDelayMillis * 2);
        mLoop.schedule(this::connect, delay, TimeUnit.MILLISECONDS);
    }

    /** Resets the back-off once a handshake has succeeded. */
    private final class Tracker implements LinkListener {

        @Override
        public void onUp(UpstreamLink link) {
            mDelayMillis = FIRST_DELAY_MILLIS;
            mListener.onUp(link);
        }

        @Override
        public void onDown(UpstreamLink link) {
            mListener.onDown(link);
        }
    }

    /** Makes connectors. */
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

        /** Sets who this entry is. */
        public Builder identity(EntryIdentity identity) {
            mIdentity = identity;
            return this;
        }

        /** Sets the connection settings. */
        public Builder settings(WireSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the receiver of countable events. */
        public Builder events(WireEvents events) {
            mEvents = events;
            return this;
        }

        /** Sets the source of configuration. */
        public Builder config(ConfigSource config) {
            mConfig = config;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the receiver of connection changes. */
        public Builder listener(LinkListener listener) {
            mListener = listener;
            return this;
        }

        /** Sets the event loops, one of which serves the connection. */
        public Builder group(EventLoopGroup group) {
            mGroup = group;
            return this;
        }

        /** Sets the source of jitter. */
        public Builder random(RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Returns the connector, not yet started. */
        public AgentConnector build() {
            return new AgentConnector(this);
        }
    }
}
