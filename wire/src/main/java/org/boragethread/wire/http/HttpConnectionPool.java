package org.boragethread.wire.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.time.TimeSource;

/** Pool of HTTP client connections by address. Confined to one event loop. */
public final class HttpConnectionPool {

    /** Idle time after which TCP keep-alive probes start, to detect an unreachable peer. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 2;

    private static final int KEEP_ALIVE_PROBES = 2;
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);

    private static final InternalLogger LOGGER =
            InternalLoggerFactory.getInstance(HttpConnectionPool.class);

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final CallbackGuard mGuard;
    private final Bootstrap mBootstrap;
    private final Set<ActiveCall> mActive = new HashSet<>();
    private final Map<InetSocketAddress, Deque<HttpConnection>> mIdle = new HashMap<>();
    private long mConnectionAttempts;
    private boolean mClosed;

    /** Result of a connection attempt that sends nothing. */
    public enum ProbeResult {
        /** A process listens at the address. */
        ACCEPTED,
        /** The machine responded that no process listens at the address. */
        REFUSED,
        /** Neither was known in time, or the machine cannot be reached. */
        UNKNOWN
    }

    /** Creates a pool that logs the exceptions of all callbacks. */
    public HttpConnectionPool(EventLoop loop, TimeSource time) {
        this(loop, time, new CallbackGuard(cause -> LOGGER.warn("A callback threw.", cause)));
    }

    /**
     * Creates a pool.
     *
     * @param loop runs the connections and all callbacks
     * @param guard runs the callbacks for the owner that was the present one when a call was sent
     */
    public HttpConnectionPool(EventLoop loop, TimeSource time, CallbackGuard guard) {
        this(loop, time, guard, NioSocketChannel::new);
    }

    HttpConnectionPool(
            EventLoop loop,
            TimeSource time,
            CallbackGuard guard,
            ChannelFactory<SocketChannel> channels) {
        mLoop = loop;
        mTime = time;
        mGuard = guard;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channels)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        // Tells the end of the peer's data from any other close.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                                KEEP_ALIVE_IDLE_SECONDS)
                        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                                KEEP_ALIVE_PROBES);
        long interval = EXPIRY_CHECK_INTERVAL.toMillis();
        loop.scheduleWithFixedDelay(
                guard.bind(this::closeExpired), interval, interval, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a call. The listener is called later on the event loop, never during this invocation.
     * It is not called if the event loop ends before; see {@link #close}.
     */
    public CallControl send(HttpCall call, CallListener listener) {
        ActiveCall state = new ActiveCall(call, listener, mGuard, mActive::remove);
        mActive.add(state);
        if (mClosed) {
            executeLater(
                    () ->
                            state.failBeforeSending(
                                    CallFailure.Kind.CONNECT, "the process is stopping"));
            return state;
        }
        if (!call.newConnectionRequired()) {
            HttpConnection idle = takeIdle(call.address());
            if (idle != null) {
                idle.start(state);
                return state;
            }
        }
        connect(state);
        return state;
    }

    /**
     * Checks whether a process listens at an address, without sending anything. The callback is
     * called later on the event loop, never during this invocation.
     */
    public void probe(InetSocketAddress address, Duration timeout, Consumer<ProbeResult> callback) {
        mConnectionAttempts++;
        CallbackGuard.Owner owner = mGuard.current();
        ChannelFuture attempt =
                mBootstrap
                        .clone()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(address);
        whenComplete(
                attempt,
                () -> {
                    closeIfRegistered(attempt.channel());
                    mGuard.run(owner, () -> callback.accept(probeResult(attempt)));
                });
    }

    /**
     * Fails all calls and closes all connections. Later calls fail without being sent. After this,
     * the event loop can end without a call that waits for its result.
     */
    public void close() {
        mClosed = true;
        for (ActiveCall call : List.copyOf(mActive)) {
            call.abort(CallFailure.Kind.BROKEN, "the process is stopping");
        }
        mIdle.values().forEach(idle -> List.copyOf(idle).forEach(HttpConnection::close));
        mIdle.clear();
    }

    /**
     * Runs a task on the event loop when a connection attempt is complete, also if it already is.
     * The future of one that fails at once may notify its listeners at once or on another thread.
     */
    private void whenComplete(ChannelFuture attempt, Runnable task) {
        if (attempt.isDone()) {
            executeLater(task);
        } else {
            attempt.addListener(completed -> task.run());
        }
    }

    private void executeLater(Runnable task) {
        try {
            mLoop.execute(task);
        } catch (RejectedExecutionException e) {
            LOGGER.warn("A call has no result because the event loop has ended.", e);
        }
    }

    /** Closes a channel; one that could not be created or registered can't be closed. */
    private static void closeIfRegistered(Channel channel) {
        if (channel.isRegistered()) {
            channel.close();
        }
    }

    private static ProbeResult probeResult(ChannelFuture completed) {
        if (completed.isSuccess()) {
            return ProbeResult.ACCEPTED;
        }
        return isRefused(completed.cause()) ? ProbeResult.REFUSED : ProbeResult.UNKNOWN;
    }

    /** The kernel's own time-out, which has the same type, is longer than any of the callers'. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Returns the total number of connection attempts. */
    public long connectionAttempts() {
        return mConnectionAttempts;
    }

    private void connect(ActiveCall state) {
        mConnectionAttempts++;
        HttpCall call = state.call();
        HttpConnection connection = new HttpConnection(this, call.address());
        ChannelFuture attempt =
                mBootstrap
                        .clone()
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, call.connectTimeout().toMillis()))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        connection.install(channel);
                                    }
                                })
                        .connect(call.address());
        if (!attempt.isDone()) {
            state.attach(attempt.channel());
        }
        whenComplete(attempt, () -> onConnected(attempt, connection, state));
    }

    private static void onConnected(
            ChannelFuture attempt, HttpConnection connection, ActiveCall state) {
        if (attempt.isSuccess()) {
            state.deliverConnected();
            connection.start(state);
        } else {
            Throwable cause = attempt.cause();
            state.failBeforeSending(
                    isRefused(cause) ? CallFailure.Kind.REFUSED : CallFailure.Kind.CONNECT,
                    String.valueOf(cause.getMessage()));
        }
    }

    /** Returns the number of idle connections. */
    int idleConnections() {
        return mIdle.values().stream().mapToInt(Deque::size).sum();
    }

    /** Returns a connection to the pool for later calls. */
    void release(HttpConnection connection) {
        mIdle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>()).push(connection);
    }

    /** Removes a closed connection from the pool. */
    void remove(HttpConnection connection) {
        Deque<HttpConnection> idle = mIdle.get(connection.address());
        if (idle != null) {
            idle.remove(connection);
        }
    }

    TimeSource time() {
        return mTime;
    }

    private HttpConnection takeIdle(InetSocketAddress address) {
        Deque<HttpConnection> idle = mIdle.get(address);
        while (idle != null && !idle.isEmpty()) {
            HttpConnection connection = idle.pop();
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void closeExpired() {
        Iterator<Deque<HttpConnection>> queues = mIdle.values().iterator();
        while (queues.hasNext()) {
            Deque<HttpConnection> idle = queues.next();
            for (HttpConnection connection : idle.toArray(new HttpConnection[0])) {
                if (!connection.isUsable()) {
                    idle.remove(connection);
                    connection.close();
                }
            }
            if (idle.isEmpty()) {
                queues.remove();
            }
        }
    }

    /** Closes the channel of a cancelled call, if it has one. */
    static void closeIfPresent(Channel channel) {
        if (channel != null) {
            channel.close();
        }
    }
}
