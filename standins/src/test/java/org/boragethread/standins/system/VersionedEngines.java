package org.boragethread.standins.system;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;

/**
 * Engines of several software versions that write their version into each event. A path that ends
 * in {@code /begin-N} breaks off responses that begin a stream after N events, one that ends in
 * {@code /every-N} all responses.
 */
final class VersionedEngines implements AutoCloseable {

    static final int EVENTS = 6;

    private static final Pattern BREAK = Pattern.compile("/(begin|every)-(\\d+)$");
    private static final String GROUP = "engines";

    private final StoreStandIn mStore;
    private final Map<String, ScriptedUpstream> mEngines = new HashMap<>();
    private final Map<String, String> mVersions = new HashMap<>();
    private final List<String> mReceivedIds = new ArrayList<>();
    private String mLastEngine = "";

    VersionedEngines(StoreStandIn store) {
        mStore = store;
    }

    /** Starts an engine that announces the version that it runs. */
    VersionedEngines start(String id, String version) throws IOException {
        run(id, version);
        announce(id, version);
        return this;
    }

    private synchronized void run(String id, String version) throws IOException {
        mVersions.put(id, version);
        mEngines.put(id, new ScriptedUpstream(request -> respond(id, request)));
    }

    /** Closes an engine, which stays announced. */
    synchronized void crash(String id) throws IOException {
        mEngines.get(id).close();
    }

    /** Runs a crashed engine again under its ID and at its address, without announcing it. */
    synchronized void runAgain(String id, String version) throws IOException {
        mVersions.put(id, version);
        int port = mEngines.get(id).port();
        mEngines.put(id, new ScriptedUpstream(port, request -> respond(id, request)));
    }

    /** Announces an engine with a version. */
    synchronized void announce(String id, String version) {
        String announcement = mEngines.get(id).announcement(GROUP, version);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, announcement);
    }

    /** Announces an engine with a version after a delay, as one does that has started again. */
    CompletableFuture<Void> announceLater(String id, String version, Duration delay) {
        return CompletableFuture.runAsync(
                () -> announce(id, version),
                CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS));
    }

    /** Closes an engine and removes its announcement. */
    synchronized void stop(String id) throws IOException {
        mEngines.remove(id).close();
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, "");
    }

    /** Returns the IDs of the requests that have reached engines, once for each time. */
    synchronized List<String> receivedIds() {
        return List.copyOf(mReceivedIds);
    }

    /** Returns the engine that received the last request. */
    synchronized String lastEngine() {
        return mLastEngine;
    }

    private synchronized ResponseScript respond(String id, ScriptedUpstream.Request request) {
        mReceivedIds.add(request.id());
        mLastEngine = id;
        String lastEvent = request.headers().getOrDefault("last-event-id", "");
        int first = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1;
        int last = Math.min(EVENTS, first + eventsBeforeBreak(request, lastEvent) - 1);
        StringBuilder events = new StringBuilder();
        for (int event = first; event <= last; event++) {
            events.append("id: %d\ndata: %s\n\n".formatted(event, mVersions.get(id)));
        }
        String head =
                """
                HTTP/1.1 200 OK\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Content-Type: text/event-stream\r
                Transfer-Encoding: chunked\r
                Connection: close\r
                \r
                """
                        .formatted(request.id());
        String chunk = Integer.toHexString(events.length()) + "\r\n" + events + "\r\n";
        String end = last == EVENTS ? "0\r\n\r\n" : "";
        byte[] bytes = (head + chunk + end).getBytes(StandardCharsets.US_ASCII);
        // A caller must have received the events before its connection is reset.
        Optional<Integer> pauseAt =
                last == EVENTS ? Optional.empty() : Optional.of(bytes.length - 1);
        return new ResponseScript(bytes, pauseAt, Ending.CLOSE);
    }

    private static int eventsBeforeBreak(ScriptedUpstream.Request request, String lastEvent) {
        Matcher matcher = BREAK.matcher(request.path());
        boolean breaks =
                matcher.find() && (matcher.group(1).equals("every") || lastEvent.isEmpty());
        return breaks ? Integer.parseInt(matcher.group(2)) : EVENTS;
    }

    @Override
    public void close() throws IOException {
        for (ScriptedUpstream engine : mEngines.values()) {
            engine.close();
        }
    }
}
