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

/** Server that accepts connections from entries. */
public final class AgentServer implements AutoCloseable {

    private final InetSocketAddress mAddress;
    private final AgentIdentity mIdentity;
    private final WireSettings mSettings;
    private final WireEvents mEvents;
    private final ConfigSource mConfig;
    private final CallHandler mHandler;
    private final ClaimQueryHandler mClaims;
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
     * Binds the address and starts accepting connections.
     *
     * @return the bound address; if the configured port was 0, the port was assigned by the system
     */
    public InetSocketAddress start() {
        mServerChannel =
                ServerBootstraps.create(mGroup, this::accept)
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

    /** Tells all connected entries to send no further calls. */
    public void sendGoaway(String reason) {
        mChannels.forEach(channel -> channel.sendGoaway(reason));
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mChannels.size();
    }

    /** Stops accepting connections. Open ones are closed when the event loops are shut down. */
    @Override
    public void close() {
        mServerChannel.close().syncUninterruptibly();
    }

    void removeChannel(AgentChannel channel) {
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

    ClaimQueryHandler claims() {
        return mClaims;
    }

    UpstreamLoad load() {
        return mLoad.get();
    }

    /** Builds servers. */
    public static final class Builder {
        private InetSocketAddress mAddress;
        private AgentIdentity mIdentity;
        private WireSettings mSettings;
        private WireEvents mEvents = WireEvents.NONE;
        private ConfigSource mConfig;
        private CallHandler mHandler;
        private ClaimQueryHandler mClaims = ClaimQueryHandler.NONE;
        private Supplier<UpstreamLoad> mLoad;
        private TimeSource mTime;
        private EventLoopGroup mGroup;

        /** Sets the address to listen on. */
        public Builder address(InetSocketAddress address) {
            mAddress = address;
            return this;
        }

        /** Sets the identity of this agent. */
        public Builder identity(AgentIdentity identity) {
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

        /** Sets the configuration that is exchanged with entries. */
        public Builder config(ConfigSource config) {
            mConfig = config;
            return this;
        }

        /** Sets the handler of received calls. */
        public Builder handler(CallHandler handler) {
            mHandler = handler;
            return this;
        }

        /** Sets the handler of claim queries; by default, all claims are unknown. */
        public Builder claims(ClaimQueryHandler claims) {
            mClaims = claims;
            return this;
        }

        /** Sets the supplier of the current load, which is reported to entries. */
        public Builder load(Supplier<UpstreamLoad> load) {
            mLoad = load;
            return this;
        }

        /** Sets the time source. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the event loop group that runs the connections. */
        public Builder group(EventLoopGroup group) {
            mGroup = group;
            return this;
        }

        /** Creates a server, which is not yet started. */
        public AgentServer build() {
            return new AgentServer(this);
        }
    }
}
