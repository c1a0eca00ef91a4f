package org.boragethread.standins.system;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.store.StoreStandIn;

/** Upstreams of several software versions that record what arrives, and of which some are bad. */
final class RolloutUpstreams implements AutoCloseable {

    private static final Duration USUAL_TIME = Duration.ofMillis(20);

    /** Six times the usual time. */
    private static final Duration SLOW_TIME = Duration.ofMillis(120);

    private static final double BAD_SHARE = 0.4;
    private static final String GROUP = "orders";

    private final StoreStandIn mStore;
    private final List<ScriptedUpstream> mUpstreams = new ArrayList<>();
    private final Map<String, List<Long>> mArrivals = new HashMap<>();
    private final Map<String, Integer> mInFlight = new HashMap<>();
    private final List<Long> mBadResponses = new ArrayList<>();

    /** How a version responds. */
    enum Quality {
        GOOD,
        FAILING,
        SLOW
    }

    RolloutUpstreams(StoreStandIn store) {
        mStore = store;
    }

    /** Starts and announces upstreams of a version. */
    synchronized void start(String version, int count, Quality quality) throws IOException {
        mArrivals.put(version, new ArrayList<>());
        for (int i = 0; i < count; i++) {
            ScriptedUpstream upstream =
                    new ScriptedUpstream(
                            0,
                            (request, connection) ->
                                    respond(version, quality, request, connection));
            mUpstreams.add(upstream);
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    version + "-" + i,
                    upstream.announcement(GROUP, version));
        }
    }

    private void respond(
            String version, Quality quality, ScriptedUpstream.Request request, Socket connection)
            throws IOException {
        boolean isBad = onArrival(version, quality);
        Duration time = quality == Quality.SLOW && isBad ? SLOW_TIME : USUAL_TIME;
        LockSupport.parkNanos(time.toNanos());
        onResponse(version, isBad);
        int status = quality == Quality.FAILING && isBad ? 500 : 200;
        String response =
                """
                HTTP/1.1 %d status\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Content-Length: 2\r
                \r
                ok"""
                        .formatted(status, request.id());
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    private synchronized boolean onArrival(String version, Quality quality) {
        List<Long> arrivals = mArrivals.get(version);
        arrivals.add(System.nanoTime());
        mInFlight.merge(version, 1, Integer::sum);
        // Evenly distributed, so that tests do not depend on chance.
        boolean isInShare =
                Math.floor(arrivals.size() * BAD_SHARE)
                        > Math.floor((arrivals.size() - 1) * BAD_SHARE);
        return quality == Quality.SLOW || quality == Quality.FAILING && isInShare;
    }

    private synchronized void onResponse(String version, boolean isBad) {
        mInFlight.merge(version, -1, Integer::sum);
        if (isBad) {
            mBadResponses.add(System.nanoTime());
        }
    }

    /** Returns the number of requests of a version that have not been responded to. */
    synchronized int inFlight(String version) {
        return mInFlight.getOrDefault(version, 0);
    }

    /** Returns the number of requests of a version that arrived between two times. */
    synchronized long arrivals(String version, long fromNanos, long toNanos) {
        return mArrivals.get(version).stream()
                .filter(arrival -> arrival - fromNanos >= 0 && arrival - toNanos < 0)
                .count();
    }

    /** Returns when a bad response was sent, if there were as many; the first one is 1. */
    synchronized long badResponseAt(int number) {
        return mBadResponses.size() < number ? Long.MAX_VALUE : mBadResponses.get(number - 1);
    }

    @Override
    public void close() throws IOException {
        for (ScriptedUpstream upstream : mUpstreams) {
            upstream.close();
        }
    }
}
