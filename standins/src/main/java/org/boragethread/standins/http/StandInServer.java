package org.boragethread.standins.http;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.WorkerThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** A small HTTP server on a loopback port; all servers of a process share the worker threads. */
public final class StandInServer implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int BACKLOG = 4096;
    private static final long STOP_GRACE_MS = 200;

    private static final int WORKER_THREADS = 8;
    private static final ExecutorService WORKERS =
            Executors.newFixedThreadPool(WORKER_THREADS, StandInServer::workerThread);

    private final String mName;
    private final int mSelectors;
    private final ExchangeHandler mHandler;
    private HttpServer mServer;
    private int mPort;

    /**
     * Creates a server that is not yet listening.
     *
     * @param name name of the listener and of its threads
     * @param selectors number of selector threads
     */
    public StandInServer(String name, int selectors, ExchangeHandler handler) {
        mName = name;
        mSelectors = selectors;
        mHandler = handler;
    }

    /**
     * Starts listening.
     *
     * @param port port to listen on, or 0 for a free one; a restart reuses the previous port
     * @throws IOException if the port cannot be bound
     */
    public synchronized void start(int port) throws IOException {
        if (mServer != null) {
            return;
        }
        NetworkListener listener = new NetworkListener(mName, HOST, mPort == 0 ? port : mPort);
        listener.setTransport(transport());
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
        HttpServer server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new GrizzlyAdapter(mHandler), "/");
        server.start();
        mServer = server;
        mPort = listener.getPort();
    }

    /** Returns the port that the server listens on. */
    public synchronized int port() {
        return mPort;
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return HOST + ":" + port();
    }

    /** Stops listening, so that new connections are refused, and closes all connections. */
    public synchronized void stop() {
        if (mServer != null) {
            mServer.shutdownNow();
            mServer = null;
        }
    }

    /** Stops listening after a short grace period in which running requests may finish. */
    @Override
    public synchronized void close() {
        if (mServer != null) {
            mServer.shutdown(STOP_GRACE_MS, TimeUnit.MILLISECONDS);
            mServer = null;
        }
    }

    private TCPNIOTransport transport() {
        ThreadPoolConfig selectors =
                ThreadPoolConfig.defaultConfig()
                        .setPoolName(mName + "-selector")
                        .setCorePoolSize(mSelectors)
                        .setMaxPoolSize(mSelectors);
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance()
                        .setName(mName)
                        .setSelectorRunnersCount(mSelectors)
                        .setSelectorThreadPoolConfig(selectors)
                        .setIOStrategy(WorkerThreadIOStrategy.getInstance())
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setServerConnectionBackLog(BACKLOG)
                        .build();
        transport.setWorkerThreadPool(WORKERS);
        return transport;
    }

    private static Thread workerThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in-worker");
        thread.setDaemon(true);
        return thread;
    }
}
