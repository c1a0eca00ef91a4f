package org.boragethread.standins.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.boragethread.standins.system.ResponseScript.Extent;
import org.boragethread.standins.system.ResponseScript.Framing;

/**
 * Engines that crash when they begin to respond to certain requests. A crashed engine is replaced
 * at once by another one with an ID and an address of its own.
 */
final class CrashingEngines implements AutoCloseable {

    private static final String PROMPT_HEADER = "x-boragethread-prompt-prefix";

    /** Shorter than the pause inside a response. */
    private static final long TIME_TO_FIRST_BYTES_MILLIS = 50;

    /** When an engine crashes. */
    enum Crash {
        BEFORE_RESPONSE,
        /** After the head and a part of the body. */
        INSIDE_RESPONSE
    }

    private final StoreStandIn mStore;
    private final String mGroup;
    private final Predicate<ScriptedUpstream.Request> mCrashing;
    private final Crash mCrash;
    private final ExecutorService mReplacements = Executors.newSingleThreadExecutor();
    private final Map<String, ScriptedUpstream> mEngines = new HashMap<>();
    private final List<Long> mCrashes = new ArrayList<>();
    private int mStarted;

    /** Starts engines that crash on requests that the predicate accepts, and announces them. */
    CrashingEngines(
            StoreStandIn store,
            String group,
            int engines,
            Predicate<ScriptedUpstream.Request> crashing,
            Crash crash)
            throws IOException {
        mStore = store;
        mGroup = group;
        mCrashing = crashing;
        mCrash = crash;
        for (int i = 0; i < engines; i++) {
            startEngine();
        }
    }

    /**
     * Accepts prompts with a part.
     *
     * @param part ID of the part, as in the header
     */
    static Predicate<ScriptedUpstream.Request> withPart(String part) {
        return request -> request.headers().getOrDefault(PROMPT_HEADER, "").contains(part + ":");
    }

    private synchronized void startEngine() throws IOException {
        mStarted++;
        String id = "engine-" + mStarted;
        ScriptedUpstream engine = new ScriptedUpstream(request -> respond(id, request));
        mEngines.put(id, engine);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, engine.announcement(mGroup));
    }

    private ResponseScript respond(String id, ScriptedUpstream.Request request) {
        if (mCrashing.test(request) && mCrash == Crash.INSIDE_RESPONSE) {
            CompletableFuture.runAsync(
                    () -> crash(id),
                    CompletableFuture.delayedExecutor(
                            TIME_TO_FIRST_BYTES_MILLIS, TimeUnit.MILLISECONDS, mReplacements));
        } else if (mCrashing.test(request)) {
            CompletableFuture.runAsync(() -> crash(id), mReplacements).join();
        }
        return ResponseScript.of(
                request.id(),
                "text/event-stream",
                Framing.CHUNKED,
                Extent.WHOLE_WITH_PAUSE,
                Ending.STAY_OPEN);
    }

    private synchronized void crash(String id) {
        mCrashes.add(System.nanoTime());
        ScriptedUpstream engine = mEngines.remove(id);
        if (engine == null) {
            return;
        }
        try {
            engine.close();
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, "");
            startEngine();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the times at which such requests reached engines, from System.nanoTime. */
    synchronized List<Long> crashes() {
        return List.copyOf(mCrashes);
    }

    @Override
    public synchronized void close() throws IOException {
        mReplacements.shutdownNow();
        for (ScriptedUpstream engine : mEngines.values()) {
            engine.close();
        }
    }
}
