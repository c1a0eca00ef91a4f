package org.boragethread.standins.system;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;

/** One run: gateways, engines of two versions, callers, and what happens to them by seed. */
final class SoakRun implements AutoCloseable {

    private static final Duration RUN_TIME = Duration.ofSeconds(12);
    private static final Duration READINESS_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_STEP_MILLIS = 800;
    private static final Duration BATCH_TIME = Duration.ofMillis(120);
    private static final int ENGINES = 6;
    private static final int MAX_UNANNOUNCED_MILLIS = 700;
    private static final int[] GRACE_SECONDS = {6, 4, 10};

    private final SplittableRandom mRandom;
    private final StoreStandIn mStore = new StoreStandIn();
    private final ProcessHarness mHarness = new ProcessHarness();
    private final List<SoakGateway> mGateways = new ArrayList<>();
    private final List<SoakEngine> mEngines = new ArrayList<>();
    private final List<DirectUpstream> mPieces = new ArrayList<>();
    private final List<SoakCaller> mCallers = new ArrayList<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<String> mEvents = new ArrayList<>();
    private final List<Disturbance> mDisturbances;
    private final long mBegin = System.nanoTime();
    private final SoakConfig mConfig;
    private final Set<SoakEngine> mBusyEngines = ConcurrentHashMap.newKeySet();
    private volatile boolean mEnded;

    /** What happens to a gateway, the store or an engine. */
    private enum Disturbance {
        STOP(true),
        STOP_TWICE(true),
        STOP_WITH_HANG_UP(true),
        STOP_TWO(false),
        STOP_ALL(false),
        HANG_UP(true),
        KILL(true),
        PAUSE(true),
        CONFIG(false),
        MOVE_ROUTE(false),
        REMOVE_ROUTE(false),
        STORE_DOWN(false),
        STORE_FROM_COPY(false),
        ENGINE_REFUSES(false),
        ENGINE_RESTARTS(false);

        final boolean mOfGateway;

        Disturbance(boolean ofGateway) {
            mOfGateway = ofGateway;
        }
    }

    /**
     * Starts all processes.
     *
     * @param options what the run has beside its usual disturbances
     */
    SoakRun(long seed, int gateways, int callers, Set<SoakOption> options) throws Exception {
        mRandom = new SplittableRandom(seed);
        boolean sharedScheduling = options.contains(SoakOption.SHARED_SCHEDULING);
        mConfig = new SoakConfig(sharedScheduling);
        mDisturbances = new ArrayList<>(List.of(Disturbance.values()));
        if (!options.contains(SoakOption.ENGINE_RESTARTS)) {
            mDisturbances.remove(Disturbance.ENGINE_RESTARTS);
        }
        mStore.start();
        configure();
        for (int i = 0; i < ENGINES; i++) {
            String group = SoakConfig.GROUPS.get(i % 2);
            String version = "%s-v%d".formatted(group, 1 + i / 2 % 2);
            mEngines.add(new SoakEngine("engine-" + i, group, version, seed));
        }
        announceEngines();
        startPieces();
        List<Future<SoakGateway>> starting = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            String name = "gateway-" + i;
            Duration grace = Duration.ofSeconds(GRACE_SECONDS[i % GRACE_SECONDS.length]);
            starting.add(
                    mThreads.submit(
                            () ->
                                    new SoakGateway(
                                            mHarness,
                                            name,
                                            mStore.address(),
                                            grace,
                                            sharedScheduling)));
        }
        for (Future<SoakGateway> gateway : starting) {
            mGateways.add(gateway.get());
        }
        for (int i = 0; i < callers; i++) {
            mCallers.add(new SoakCaller("c" + seed + "-" + i, mGateways, mRandom.nextLong()));
        }
    }

    private void startPieces() throws IOException {
        for (String id : List.of("pieces-1", "pieces-2")) {
            DirectUpstream upstream = new DirectUpstream(id, "pieces");
            upstream.start();
            upstream.setBatchTime(BATCH_TIME);
            mPieces.add(upstream);
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, upstream.announcement(false));
        }
    }

    private void announceEngines() {
        mEngines.forEach(this::announce);
    }

    private void announce(SoakEngine engine) {
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, engine.id(), engine.announcement());
    }

    /** Runs until all gateways were disturbed, and at last stopped, and all callers have ended. */
    void run() throws Exception {
        mThreads.execute(this::checkReadiness);
        List<CompletableFuture<Void>> callers =
                mCallers.stream()
                        .map(caller -> CompletableFuture.runAsync(caller, mThreads))
                        .toList();
        long end = System.nanoTime() + RUN_TIME.toNanos();
        while (System.nanoTime() < end) {
            park(mRandom.nextInt(MAX_STEP_MILLIS));
            disturb(mDisturbances.get(mRandom.nextInt(mDisturbances.size())));
        }
        for (SoakGateway gateway : mGateways) {
            record("last stop of " + gateway.life().mGateway.process().name());
            gateway.stop(false, List.of());
            park(mRandom.nextInt(MAX_STEP_MILLIS));
        }
        for (SoakGateway gateway : mGateways) {
            gateway.awaitTasks();
        }
        mCallers.forEach(SoakCaller::stop);
        for (CompletableFuture<Void> caller : callers) {
            caller.get();
        }
        mEnded = true;
    }

    private void checkReadiness() {
        while (!mEnded) {
            mGateways.forEach(SoakGateway::checkReadiness);
            LockSupport.parkNanos(READINESS_INTERVAL.toNanos());
        }
    }

    private void disturb(Disturbance disturbance) throws IOException {
        SoakGateway gateway = mGateways.get(mRandom.nextInt(mGateways.size()));
        SoakEngine engine = mEngines.get(mRandom.nextInt(mEngines.size()));
        SoakRoute route = SoakRoute.values()[mRandom.nextInt(SoakRoute.values().length)];
        Duration time = Duration.ofMillis(200 + mRandom.nextInt(1000));
        if (disturbance.mOfGateway && gateway.isBusy()) {
            return;
        }
        record(
                "%s %s %s %s %s"
                        .formatted(
                                disturbance,
                                gateway.life().mGateway.process().name(),
                                engine.id(),
                                route,
                                time));
        switch (disturbance) {
            case STOP -> restart(gateway, false, List.of());
            case STOP_TWICE -> restart(gateway, false, List.of(time));
            case STOP_WITH_HANG_UP -> restart(gateway, true, List.of());
            case STOP_TWO -> restartSeveral(2);
            case STOP_ALL -> restartSeveral(mGateways.size());
            case HANG_UP -> gateway.hangUp();
            case KILL -> {
                gateway.kill();
                gateway.startAgain();
            }
            case PAUSE -> gateway.pause(time);
            case CONFIG -> configure();
            case MOVE_ROUTE -> {
                mConfig.move(route);
                configure();
            }
            case REMOVE_ROUTE -> removeRoute(route, time);
            case STORE_DOWN -> {
                mStore.setDown(true);
                later(time, () -> mStore.setDown(false));
            }
            case STORE_FROM_COPY -> restoreStore(time);
            case ENGINE_REFUSES -> refuse(engine, time);
            default -> restart(engine, time);
        }
    }

    private void removeRoute(SoakRoute route, Duration time) {
        if (!mConfig.remove(route)) {
            return;
        }
        configure();
        later(
                time,
                () -> {
                    mConfig.putBack(route);
                    configure();
                });
    }

    private void refuse(SoakEngine engine, Duration time) throws IOException {
        if (!mBusyEngines.add(engine)) {
            return;
        }
        engine.server().refuseConnections();
        later(
                time,
                () -> {
                    engine.server().acceptConnections();
                    mBusyEngines.remove(engine);
                });
    }

    /** Restarts an engine with the other version, which is announced somewhat later. */
    private void restart(SoakEngine engine, Duration time) throws IOException {
        if (!mBusyEngines.add(engine)) {
            return;
        }
        String other = engine.version().endsWith("1") ? "2" : "1";
        engine.restart(engine.group() + "-v" + other);
        later(
                Duration.ofMillis(time.toMillis() % MAX_UNANNOUNCED_MILLIS),
                () -> {
                    announce(engine);
                    mBusyEngines.remove(engine);
                });
    }

    /** Stops gateways that nothing else is done to, one soon after the other. */
    private void restartSeveral(int count) {
        List<SoakGateway> idle =
                mGateways.stream().filter(gateway -> !gateway.isBusy()).limit(count).toList();
        for (SoakGateway gateway : idle) {
            restart(gateway, false, List.of());
            park(mRandom.nextInt(MAX_STEP_MILLIS / 4));
        }
    }

    private static void restart(SoakGateway gateway, boolean hangUp, List<Duration> signals) {
        gateway.stop(hangUp, signals);
        gateway.startAgain();
    }

    private void configure() {
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", mConfig.next());
    }

    private void restoreStore(Duration time) {
        mStore.copyRecords();
        configure();
        later(
                time,
                () -> {
                    mStore.restoreCopy();
                    configure();
                    announceEngines();
                });
    }

    /** A step that ends a disturbance. */
    private interface Step {
        void run() throws IOException;
    }

    private void later(Duration delay, Step step) {
        CompletableFuture.runAsync(
                () -> {
                    try {
                        step.run();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                CompletableFuture.delayedExecutor(
                        delay.toMillis(), TimeUnit.MILLISECONDS, mThreads));
    }

    private void record(String event) {
        long millis = Duration.ofNanos(System.nanoTime() - mBegin).toMillis();
        mEvents.add(millis + " ms " + event);
    }

    private static void park(int millis) {
        LockSupport.parkNanos(Duration.ofMillis(millis).toNanos());
    }

    SoakConfig config() {
        return mConfig;
    }

    /** Returns what happened, in its order. */
    List<String> events() {
        return mEvents;
    }

    List<SoakGateway> gateways() {
        return mGateways;
    }

    List<SoakEngine.Run> engineRuns() {
        return mEngines.stream().flatMap(engine -> engine.runs().stream()).toList();
    }

    List<SoakCaller.Attempt> attempts() {
        return mCallers.stream().flatMap(caller -> caller.attempts().stream()).toList();
    }

    @Override
    public void close() throws IOException {
        mEnded = true;
        mCallers.forEach(SoakCaller::stop);
        mGateways.forEach(SoakGateway::close);
        mHarness.close();
        for (SoakEngine engine : mEngines) {
            engine.close();
        }
        mPieces.forEach(DirectUpstream::close);
        mStore.close();
        mThreads.shutdownNow();
    }
}
