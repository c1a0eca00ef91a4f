package org.boragethread.agent.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * HTTP/1.1 client based on Grizzly. Reuses the connection that became idle last.
 *
 * <p>A request that is not idempotent is always sent on a new connection: the upstream may close a
 * reused one at the same time, and then it is unknown whether the request ran.
 */
public final class GrizzlyUpstreamClient implements UpstreamClient {

    private final InetSocketAddress mAddress;
    private final TCPNIOTransport mTransport;
    private final TCPNIOConnectorHandler mConnector;
    private final ConcurrentLinkedDeque<Connection<?>> mIdleConnections =
            new ConcurrentLinkedDeque<>();

    /**
     * Creates and starts a client.
     *
     * @param address address of the upstream
     * @param connectTimeout time after which a connection attempt fails
     * @throws UncheckedIOException if no selector can be opened
     */
    public GrizzlyUpstreamClient(InetSocketAddress address, Duration connectTimeout) {
        mAddress = address;
        FilterChainBuilder filters =
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new IdleConnectionFilter())
                        .add(new ResponseHeadFilter())
                        .add(new ExchangeFilter());
        mTransport =
                TCPNIOTransportBuilder.newInstance()
                        .setName("upstream")
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorRunnersCount(1)
                        .setTcpNoDelay(true)
                        .setProcessor(filters.build())
                        .build();
        mTransport.setConnectionTimeout((int) connectTimeout.toMillis());
        mConnector = TCPNIOConnectorHandler.builder(mTransport).build();
        mConnector.setSyncConnectTimeout(connectTimeout.toMillis(), TimeUnit.MILLISECONDS);
        try {
            mTransport.start();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the HTTP client: " + e.getMessage(), e);
        }
    }

    @Override
    public UpstreamExchange send(UpstreamRequest request, UpstreamListener listener) {
        Exchange exchange = new Exchange(this, mAddress, request, listener);
        Optional<Connection<?>> idle = request.idempotent() ? takeIdle() : Optional.empty();
        if (idle.isPresent()) {
            exchange.start(idle.get(), true);
        } else {
            connect(exchange);
        }
        return exchange;
    }

    /** Opens a new connection and starts the exchange on it. */
    void connect(Exchange exchange) {
        CompletionHandler<Connection> onConnected =
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection connection) {
                        exchange.start(connection, false);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        exchange.failBeforeSend(
                                "cannot connect to %s: %s".formatted(mAddress, cause));
                    }

                    @Override
                    public void cancelled() {
                        exchange.failBeforeSend("connecting to %s timed out".formatted(mAddress));
                    }
                };
        mConnector.connect(mAddress, onConnected);
    }

    private Optional<Connection<?>> takeIdle() {
        Connection<?> connection = mIdleConnections.pollFirst();
        while (connection != null && !connection.isOpen()) {
            connection = mIdleConnections.pollFirst();
        }
        return Optional.ofNullable(connection);
    }

    /** Returns a connection to the pool of idle connections. */
    void release(Connection<?> connection) {
        mIdleConnections.addFirst(connection);
    }

    /** Removes a closed connection from the pool. */
    void removeIdle(Connection<?> connection) {
        mIdleConnections.remove(connection);
    }

    @Override
    public void close() {
        try {
            mTransport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot stop the HTTP client: " + e.getMessage(), e);
        }
    }
}
