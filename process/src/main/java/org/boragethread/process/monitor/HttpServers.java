package org.boragethread.process.monitor;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates, starts and stops HTTP servers that listen on one address. */
public final class HttpServers {

    private static final int UNLIMITED = -1;
    private static final ScheduledExecutorService TIMERS =
            Executors.newSingleThreadScheduledExecutor(HttpServers::timerThread);

    private HttpServers() {}

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "http-timers");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Returns a server with one handler, not yet started.
     *
     * @param limits limits for request bodies
     * @param threads number of threads that run handlers
     */
    public static HttpServer create(
            InetSocketAddress address, HttpHandler handler, BodyLimits limits, int threads) {
        NetworkListener listener =
                new NetworkListener(
                        "http", address.getAddress().getHostAddress(), address.getPort());
        listener.getTransport()
                .setWorkerThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("http")
                                .setCorePoolSize(threads)
                                .setMaxPoolSize(threads));
        listener.getTransport().setSelectorRunnersCount(Math.max(1, threads / 2));
        listener.getKeepAlive().setMaxRequestsCount(UNLIMITED);
        listener.registerAddOn(UpgradeIgnoringFilter.addOn());
        listener.registerAddOn(bodyBufferingAddOn(limits));
        HttpServer server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(handler, "/");
        return server;
    }

    private static AddOn bodyBufferingAddOn(BodyLimits limits) {
        return (listener, filters) -> {
            int httpFilterIndex = filters.indexOfType(HttpServerFilter.class);
            filters.add(httpFilterIndex + 1, new BodyBufferingFilter(limits, TIMERS));
        };
    }

    /**
     * Starts a server.
     *
     * @return the bound address; if the configured port was 0, the port was assigned by the system
     * @throws UncheckedIOException if the address cannot be bound
     */
    public static InetSocketAddress start(HttpServer server) {
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen: " + e.getMessage(), e);
        }
        NetworkListener listener = server.getListeners().iterator().next();
        return new InetSocketAddress(listener.getHost(), listener.getPort());
    }

    /**
     * Stops a server after its running requests have ended, but at the latest after a grace period.
     */
    public static void stop(HttpServer server, long graceMillis) {
        try {
            server.shutdown(graceMillis, TimeUnit.MILLISECONDS).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            server.shutdownNow();
        }
    }
}
