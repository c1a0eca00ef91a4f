package org.boragethread.wire.server;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.FramePipeline;
import org.boragethread.wire.frame.WireEvents;
import org.boragethread.wire.frame.WireSettings;

/** Accepts connections from entries. */
public final class AgentServer implements AutoCloseable {

    private final InetSocketAddress mAddress;
    private final AgentIdentity mIdentity;
    private final WireSettings mSettings;
    private final WireEvents mEvents;
    private final ConfigSource mConfig;
    private final CallHandler mHandler;
    private final ClaimDirectory mClaims;
    private final Supplier<UpstreamLoad> mLoad;
    private final TimeSource mTime;
    private final EventLoopGroup mGroup;
    private final Set<AgentChannel> mChannels = ConcurrentHashMap.newKeySet();
    private Channel mServerChannel;

    private AgentServer(Builder builder) {
        mAddress = Objects.requireNonNull(builder.mAddress, "address");
        mIdentity = Objects.requireNonNull(builder.mIdentity, "identity");
        mSettings = Objects.requireNonNull(builder.mSettings, "settings");
        mEvents = builder.mEvents;
        mConfig = Objects.requireNonNull(builder.mConfig, "config");
        mHandler = Objects.requireNonNull(builder.mHandler, "handler");
        mClaims = Objects.requireNonNull(builder.mClaims, "claims");
        mLoad = Objects.requireNonNull(builder.mLoad, "load");
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mGroup = Objects.requireNonNull(builder.mGroup, "group");
    }

    /**
     * Binds the address.
     *
     * @return the bound address, with the port that the system chose if it was 0
     */
    public InetSocketAddress start() {
        mServerChannel =
                Servers.accepting(mGroup, this::accept)
                        .bind(mAddress)
                        .syncUninterruptibly()
                        .channel();
        return (InetSocketAddress) mServerChannel.localAddress();
    }

    private void accept(SocketChannel channel) {
        AgentChannel handler = new AgentChannel(this, mTime);
        mChannels.add(handler);
        FramePipeline.addTo(channel.pipeline(), mSettings);
        channel.pipeline().addLast(handler);
    }

    /** Tells every connected entry to send no more calls. */
    public void goaway(String reason) {
        mChannels.forEach(channel -> channel.goaway(reason));
    }

    /** Returns the number of open connections. */
    public int connections() {
        return mChannels.size();
    }

    /** Stops accepting connections; the owner of the event loops ends the open ones. */
    @Override
    public void close() {
        mServerChannel.close().syncUninterruptibly();
    }

    void forget(AgentChannel channel) {
        mChannels.remove(channel);
    }

    AgentIdentity identity() {
        return mIdentity;
    }

    WireSettings settings() {
        return mSettings;
    }

    WireEvents events() {
        return mEvents;
    }

    ConfigSource config() {
        return mConfig;
    }

    CallHandler handler() {
        return mHandler;
    }

    ClaimDirectory claims() {
        return mClaims;
    }

    UpstreamLoad load() {
        return mLoad.get();
    }

    /** Makes servers. */
    public static final class Builder {
        private InetSocketAddress mAddress;
        private AgentIdentity mIdentity;
        private WireSettings mSettings;
        private WireEvents mEvents = WireEvents.NONE;
        private ConfigSource mConfig;
        private CallHandler mHandler;
        private ClaimDirectory mClaims = ClaimDirectory.NONE;
        private Supplier<UpstreamLoad> mLoad;
        private TimeSource mTime;
        private EventLoopGroup mGroup;

        /** Sets the address to listen on. */
        public Builder address(InetSocketAddress address) {
            mAddress = address;
            return this;
        }

        /** Sets who this agent is. */
        public Builder identity(AgentIdentity identity) {
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

        /** Sets what runs the calls. */
        public Builder handler(CallHandler handler) {
            mHandler = handler;
            return this;
        }

        /** Sets what answers questions about claims. */
        public Builder claims(ClaimDirectory claims) {
            mClaims = claims;
            return this;
        }

        /** Sets the source of the load that is attached to answers. */
        public Builder load(Supplier<UpstreamLoad> load) {
            mLoad = load;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the event loops. */
        public Builder group(EventLoopGroup group) {
            mGroup = group;
            return this;
        }

        /** Returns the server, not yet started. */
        public AgentServer build() {
            return new AgentServer(this);
        }
    }
}
