package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.RolloutUpstreams.Quality;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests roll-outs of a software version by three entries. Each roll-out takes half a minute, so
 * that four of them run by default: good, failing and slow versions without a fault, with a killed
 * coordinator, a suspended entry and an unreachable store. The property {@code rollout.all}, if
 * true, runs the others too:
 *
 * <pre>mvn -o -pl standins -am test -Dtest=RolloutTest -Dsurefire.failIfNoSpecifiedTests=false
 * -Drollout.all=true</pre>
 */
public class RolloutTest {

    private static final double SHARE = 0.1;
    private static final int SLACK = 50;
    private static final Duration ROLLBACK_TIME = Duration.ofSeconds(5);
    private static final Duration PERIOD = Duration.ofSeconds(24);

    /** An order is decided after six tenths of its period. */
    private static final Duration SWITCH_TIME = PERIOD.multipliedBy(6).dividedBy(10);

    private static final Duration FAULT_DELAY = Duration.ofSeconds(2);
    private static final Duration FAULT_TIME = Duration.ofSeconds(3);
    private static final Duration SEND_INTERVAL = Duration.ofMillis(8);

    /** Time after the outcome in which nothing may change any more. */
    private static final Duration AFTERMATH = Duration.ofSeconds(2);

    private static final int OK = 200;
    private static final String KEY = "rollout/orders";

    private static final String SETTINGS =
            """
            [rollouts]
            trial_share = %s
            trial_slack = %d
            rollback_ms = %d
            """
                    .formatted(SHARE, SLACK, ROLLBACK_TIME.toMillis());

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"lookup","hostname":"127.0.0.1","path_prefix":"/lookup/","kind":"safe",
             "timeout_ms":1500,"target_latency_ms":400,"service":"orders","max_attempts":2},
            {"name":"order","hostname":"127.0.0.1","path_prefix":"/order/","kind":"unsafe",
             "timeout_ms":1500,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","health_path":"/health","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private final List<TestGateway> mGateways = new ArrayList<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private StoreStandIn mStore;
    private RolloutUpstreams mUpstreams;
    private ProcessHarness mHarness;
    private ScheduledExecutorService mTimers;
    private volatile Outcome mOutcome;
    private int mSent;

    /** The first terminal state, and what was there at the moment of its record. */
    private record Outcome(String status, long at, int oldInFlight) {}

    /** What goes wrong during a roll-out. */
    private enum Fault {
        NONE,
        COORDINATOR_KILLED,
        ENTRY_SUSPENDED,
        /** From before the switch until after the outcome. */
        ENTRY_SUSPENDED_OVER_SWITCH,
        STORE_UNREACHABLE
    }

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mUpstreams = new RolloutUpstreams(mStore);
        mUpstreams.start("v1", 5, Quality.GOOD);
        mHarness = new ProcessHarness();
        mTimers = Executors.newScheduledThreadPool(2);
        mGateways.clear();
        mOutcome = null;
        mServed.set(0);
        mSent = 0;
        mStore.setAppendListener(this::onAppended);
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mTimers.shutdownNow();
        mHarness.close();
        mUpstreams.close();
        mStore.close();
    }

    private void onAppended(String key, String value) {
        boolean isTerminal = value.contains("completed") || value.contains("rolled_back");
        if (key.equals(KEY) && isTerminal && mOutcome == null) {
            mOutcome = new Outcome(value, System.nanoTime(), mUpstreams.inFlight("v1"));
        }
    }

    private void startGateways(String settings) throws Exception {
        // The one that has run longest is the coordinator.
        for (String name : List.of("first", "second", "third")) {
            mGateways.add(TestGateway.start(mHarness, name, mStore.address(), settings));
        }
    }

    private void sendNext() {
        int number = mSent++;
        TestGateway gateway = mGateways.get(number % mGateways.size());
        String path = number % 4 == 0 ? "/order/x" : "/lookup/x";
        CompletableFuture<Void> done =
                gateway.calls()
                        .postAsync(
                                path,
                                "body",
                                "X-Boragethread-Request-Id",
                                "id-" + number,
                                "Authorization",
                                "Token key-1")
                        .thenAccept(response -> count(response.statusCode()));
        // A gateway that was killed or suspended does not respond.
        done.exceptionally(failure -> null);
    }

    private void count(int status) {
        if (status == OK) {
            mServed.incrementAndGet();
        }
    }

    private void begin(Fault fault) {
        long delay = FAULT_DELAY.toMillis();
        long end = delay + FAULT_TIME.toMillis();
        switch (fault) {
            case COORDINATOR_KILLED ->
                    mTimers.schedule(
                            () -> mGateways.get(0).process().kill(), delay, TimeUnit.MILLISECONDS);
            case ENTRY_SUSPENDED -> suspend(delay, end);
            case ENTRY_SUSPENDED_OVER_SWITCH ->
                    suspend(SWITCH_TIME.minus(FAULT_TIME).toMillis(), PERIOD.toMillis());
            case STORE_UNREACHABLE -> {
                mTimers.schedule(() -> mStore.setDown(true), delay, TimeUnit.MILLISECONDS);
                mTimers.schedule(() -> mStore.setDown(false), end, TimeUnit.MILLISECONDS);
            }
            default -> {}
        }
    }

    private void suspend(long fromMillis, long toMillis) {
        mTimers.schedule(
                () -> mGateways.get(1).process().pause(), fromMillis, TimeUnit.MILLISECONDS);
        mTimers.schedule(
                () -> mGateways.get(1).process().resume(), toMillis, TimeUnit.MILLISECONDS);
    }

    @DataProvider
    public Object[][] rollouts() {
        Object[][] usual = {
            {Quality.GOOD, Fault.NONE, "completed"},
            {Quality.FAILING, Fault.COORDINATOR_KILLED, "rolled_back"},
            {Quality.SLOW, Fault.ENTRY_SUSPENDED, "rolled_back"},
            {Quality.GOOD, Fault.STORE_UNREACHABLE, "completed"},
        };
        Object[][] others = {
            {Quality.GOOD, Fault.COORDINATOR_KILLED, "completed"},
            {Quality.GOOD, Fault.ENTRY_SUSPENDED, "completed"},
            {Quality.GOOD, Fault.ENTRY_SUSPENDED_OVER_SWITCH, "completed"},
            {Quality.FAILING, Fault.NONE, "rolled_back"},
            {Quality.SLOW, Fault.STORE_UNREACHABLE, "rolled_back"},
        };
        Stream<Object[]> rows = Stream.of(usual);
        return (Boolean.getBoolean("rollout.all") ? Stream.concat(rows, Stream.of(others)) : rows)
                .toArray(Object[][]::new);
    }

    // Guards against a version that gets more requests than operators risk, an outcome that is
    // missing, wrong or reversed, and requests that are lost when the old upstreams stop.
    @Test(dataProvider = "rollouts")
    public void rolloutKeepsItsBoundsAndHasOneOutcome(Quality quality, Fault fault, String expected)
            throws Exception {
        startGateways(SETTINGS);
        mTimers.scheduleAtFixedRate(
                this::sendNext, 0, SEND_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        Await.until("requests are served", TestGateway.TIMEOUT, () -> mServed.get() > 200);
        mUpstreams.start("v2", 3, quality);
        long orderedAt = System.nanoTime();
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                KEY,
                "{\"service\":\"orders\",\"target\":\"v2\",\"period_s\":%d}"
                        .formatted(PERIOD.toSeconds()));
        begin(fault);
        Duration limit = PERIOD.plus(ROLLBACK_TIME).plus(TestGateway.TIMEOUT);
        Await.until("the roll-out has ended", limit, () -> mOutcome != null);
        Outcome outcome = mOutcome;
        long end = Math.max(outcome.at(), orderedAt + PERIOD.toNanos()) + AFTERMATH.toNanos();
        Await.until("nothing changes", limit, () -> System.nanoTime() - end > 0);
        assertTrue(outcome.status().contains(expected), outcome + "\n" + decisions());
        checkHistory(expected);
        Duration took = Duration.ofNanos(outcome.at() - orderedAt);
        assertTrue(took.compareTo(PERIOD) <= 0, "took " + took + "\n" + decisions());
        if (expected.equals("completed")) {
            assertEquals(outcome.oldInFlight(), 0, "requests at old upstreams");
            assertEquals(mUpstreams.arrivals("v1", outcome.at(), Long.MAX_VALUE), 0);
        } else {
            checkExposure(orderedAt, outcome.at());
        }
    }

    /** Returns the log lines of all entries about roll-outs, for messages. */
    private String decisions() {
        return mGateways.stream()
                .flatMap(gateway -> gateway.process().lines().stream())
                .filter(line -> line.contains("\"event\":\"rollout"))
                .collect(Collectors.joining("\n"));
    }

    private void checkHistory(String expected) {
        List<String> states = mStore.history(StoreStandIn.STATUS_TOPIC, KEY);
        assertTrue(states.get(0).contains("running"), states.toString());
        Optional<String> afterEnd =
                states.stream()
                        .dropWhile(state -> state.contains("running"))
                        .filter(state -> !state.contains(expected))
                        .findFirst();
        assertEquals(afterEnd, Optional.empty(), states.toString());
    }

    private void checkExposure(long orderedAt, long endedAt) {
        long target = mUpstreams.arrivals("v2", 0, Long.MAX_VALUE);
        long all = mUpstreams.arrivals("v1", orderedAt, endedAt) + target;
        assertTrue(target <= SHARE * all + SLACK, target + " of " + all + " at the new version");
        assertTrue(target > 0, "the new version was never tried");
        long badAt = mUpstreams.badResponseAt(SLACK);
        if (badAt != Long.MAX_VALUE) {
            long late = badAt + ROLLBACK_TIME.toNanos();
            assertEquals(mUpstreams.arrivals("v2", late, Long.MAX_VALUE), 0, "too late");
        }
    }

    // Guards against an order that is silently ignored where roll-outs are not set up.
    @Test
    public void orderIsLoggedAsNotServedWithoutSettings() throws Exception {
        startGateways("");
        mUpstreams.start("v2", 1, Quality.GOOD);
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                KEY,
                "{\"service\":\"orders\",\"target\":\"v2\",\"period_s\":9}");
        for (TestGateway gateway : mGateways) {
            gateway.awaitLogLine("\"event\":\"rollout-order\"", "\"outcome\":\"not-served\"");
        }
        assertEquals(mStore.keys(StoreStandIn.STATUS_TOPIC), List.of());
    }
}
