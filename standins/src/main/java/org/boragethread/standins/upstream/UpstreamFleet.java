package org.boragethread.standins.upstream;

import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInResponse;
import org.boragethread.standins.http.StandInServer;

/** The upstreams of one process, each on its own port, and one control port for all of them. */
public final class UpstreamFleet implements AutoCloseable {

    private static final Pattern CONTROL = Pattern.compile("/upstreams/([^/]+)(/.*)");
    private static final int TIMER_THREADS = 2;

    private final ScheduledThreadPoolExecutor mTimer;
    private final Map<String, Upstream> mUpstreams = new LinkedHashMap<>();
    private final StandInServer mControl;

    private UpstreamFleet() {
        mTimer = new ScheduledThreadPoolExecutor(TIMER_THREADS, UpstreamFleet::timerThread);
        mTimer.setRemoveOnCancelPolicy(true);
        mControl = new StandInServer("upstream-control", 1, this::handleControl);
    }

    /**
     * Starts upstreams.
     *
     * @throws IOException if a port cannot be bound
     */
    public static UpstreamFleet start(List<UpstreamSettings> settings) throws IOException {
        UpstreamFleet fleet = new UpstreamFleet();
        for (UpstreamSettings upstreamSettings : settings) {
            fleet.mUpstreams.put(
                    upstreamSettings.name(), Upstream.start(upstreamSettings, fleet.mTimer));
        }
        fleet.mControl.start(0);
        return fleet;
    }

    /** Returns all upstreams in the order of their settings. */
    public Collection<Upstream> upstreams() {
        return List.copyOf(mUpstreams.values());
    }

    /**
     * Returns an upstream.
     *
     * @throws IllegalArgumentException if no upstream has this name
     */
    public Upstream upstream(String name) {
        Upstream upstream = mUpstreams.get(name);
        if (upstream == null) {
            throw new IllegalArgumentException("no upstream is named \"%s\"".formatted(name));
        }
        return upstream;
    }

    /** Returns the address of the control interface as {@code host:port}. */
    public String controlAddress() {
        return mControl.address();
    }

    @Override
    public void close() {
        mUpstreams.values().forEach(Upstream::close);
        mControl.stop();
        mTimer.shutdownNow();
    }

    private void handleControl(Exchange exchange) {
        Matcher path = CONTROL.matcher(exchange.path());
        if (path.matches() && mUpstreams.containsKey(path.group(1))) {
            UpstreamControl control = new UpstreamControl(mUpstreams.get(path.group(1)));
            if (control.handle(exchange, path.group(2))) {
                return;
            }
        }
        exchange.respond(StandInResponse.text(404, "no such path: " + exchange.path()));
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "upstream-timer");
        thread.setDaemon(true);
        return thread;
    }
}
