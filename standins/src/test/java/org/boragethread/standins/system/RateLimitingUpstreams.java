package org.boragethread.standins.system;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;

/** Upstreams of one group that name a rate limit in their responses and count what arrives. */
final class RateLimitingUpstreams implements AutoCloseable {

    private static final Duration WINDOW = Duration.ofSeconds(4);

    private final Map<String, ScriptedUpstream> mUpstreams = new HashMap<>();
    private final Map<String, List<Long>> mArrivals = new HashMap<>();
    private final Map<String, String> mLimits = new HashMap<>();

    /** Starts upstreams that name no limit, and announces them. */
    RateLimitingUpstreams(StoreStandIn store, String group, List<String> ids) throws IOException {
        for (String id : ids) {
            mArrivals.put(id, new ArrayList<>());
            ScriptedUpstream upstream = new ScriptedUpstream(request -> respond(id, request));
            mUpstreams.put(id, upstream);
            store.put(StoreStandIn.UPSTREAM_TOPIC, id, upstream.announcement(group));
        }
    }

    private synchronized ResponseScript respond(String id, ScriptedUpstream.Request request) {
        mArrivals.get(id).add(System.nanoTime());
        String limit = mLimits.containsKey(id) ? "Server-Limit: " + mLimits.get(id) + "\r\n" : "";
        String response =
                """
                HTTP/1.1 200 OK\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                %sContent-Length: 2\r
                \r
                ok"""
                        .formatted(request.id(), limit);
        return new ResponseScript(
                response.getBytes(StandardCharsets.US_ASCII), Optional.empty(), Ending.STAY_OPEN);
    }

    /** Names a limit from now on, as the value of the header. */
    synchronized void nameLimit(String id, String limit) {
        mLimits.put(id, limit);
    }

    /** Names no limit any more. */
    synchronized void withdrawLimit(String id) {
        mLimits.remove(id);
    }

    synchronized int arrivals(String id) {
        return mArrivals.get(id).size();
    }

    /** Returns the upstream at which most requests have arrived. */
    synchronized String busiest() {
        return Collections.max(
                mArrivals.keySet(), Comparator.comparingInt(id -> mArrivals.get(id).size()));
    }

    /** Returns the most requests that arrived within four seconds from a time on. */
    synchronized int mostArrivals(String id, long fromNanos) {
        List<Long> arrivals =
                mArrivals.get(id).stream().filter(arrival -> arrival >= fromNanos).toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last) - arrivals.get(first) > WINDOW.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    @Override
    public void close() throws IOException {
        for (ScriptedUpstream upstream : mUpstreams.values()) {
            upstream.close();
        }
    }
}
