package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.member.SharedLimitSimulation;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how soon the entries notice that an upstream's limit has ended. */
public class RateLimitEndTest {

    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final Duration CONFIRM_INTERVAL = Duration.ofSeconds(3);
    private static final Duration STEP = Duration.ofMillis(100);

    /** Lifetime of a lease in the simulation, and time until the store drops a member. */
    private static final double LEASE_SECONDS = 5;

    private static final double EXPIRY_SECONDS = 2.6;
    private static final double OUTAGE_SECONDS = 12;

    private static final int CALLS_IN_A_STEP = 2;
    private static final int ACTIVE_CALLS = 6;
    private static final String LIMITED = "limited";
    private static final String OTHER = "other";

    private static final RoutedGroup GROUP =
            new RoutedGroup(
                    new GroupId("orders"),
                    "/health",
                    110,
                    Duration.ofSeconds(3),
                    0,
                    Optional.empty(),
                    Optional.empty());

    private final List<UpstreamDirectory> mDirectories = new ArrayList<>();
    private final Map<String, Integer> mCalls = new HashMap<>();
    private OptionalDouble mNamed = OptionalDouble.empty();
    private boolean mNoticed;

    /** What happens at the moment at which the limit ends. */
    private enum Event {
        NONE,
        SHARES_KILLED,
        SHARES_SUSPENDED,
        STORE_AWAY
    }

    @BeforeMethod
    public void clear() {
        mDirectories.clear();
        mCalls.clear();
        mNoticed = false;
    }

    /** An entry with one request at a time, ten a second, for two upstreams of which one names. */
    private SharedLimitSimulation.User user(TimeSource time, PartitionLease lease, double rate) {
        UpstreamDirectory directory = new UpstreamDirectory(time);
        directory.put(UpstreamEntries.of("a", "orders", "north"));
        directory.put(UpstreamEntries.of("b", "orders", "north"));
        UpstreamChooser chooser = chooser(directory, time, lease);
        UpstreamNode limited = limited(directory, chooser);
        limited.namedRateLimit().learn(OptionalDouble.of(rate), time.nanoTime());
        mDirectories.add(directory);
        return () -> {
            long now = time.nanoTime();
            chooser.choose(request())
                    .filter(node -> node == limited)
                    .ifPresent(node -> call(node, now));
            return false;
        };
    }

    private static UpstreamChooser chooser(
            UpstreamDirectory directory, TimeSource time, PartitionLease lease) {
        return new UpstreamChooser(
                directory,
                time,
                NORTH,
                Map.of(NORTH, "r1"),
                new ColdRateShare(new ColdRateBound(1000, 1000), lease),
                new RateLimitShare(lease, CONFIRM_INTERVAL));
    }

    /** Returns the upstream that is not preferred among equal ones. */
    private static UpstreamNode limited(UpstreamDirectory directory, UpstreamChooser chooser) {
        UpstreamNode preferred = chooser.choose(request()).orElseThrow();
        return directory.all().stream().filter(node -> node != preferred).findFirst().get();
    }

    private void call(UpstreamNode node, long now) {
        node.onSent(now);
        node.onEnded();
        if (node.namedRateLimit().observe(mNamed, now, now)) {
            mNoticed = true;
        }
    }

    private static ChoiceRequest request() {
        return new ChoiceRequest(
                GROUP,
                Set.of(),
                Set.of(),
                Optional.empty(),
                0,
                0,
                new ResponseTimeModel(),
                Set.of(),
                Optional.empty(),
                ChoiceRequest.REMOTE_MILLIS);
    }

    @DataProvider
    public Object[][] ends() {
        List<Object[]> ends = new ArrayList<>();
        for (int entries : new int[] {3, 30, 1200}) {
            for (double rate : new double[] {0.2, 0.5, 4}) {
                for (Event event : Event.values()) {
                    ends.add(new Object[] {entries, rate, event});
                }
            }
        }
        return ends.toArray(Object[][]::new);
    }

    // Guards against an upstream that gets no work after its limit ended, since nobody asks it.
    @Test(dataProvider = "ends")
    public void endOfALimitIsNoticedWithinItsBound(int entries, double rate, Event event) {
        mNamed = OptionalDouble.of(rate);
        SharedLimitSimulation simulation =
                new SharedLimitSimulation(
                        entries, 1, (time, lease) -> user(time, lease, rate), STEP, false);
        double window = Math.max(5, 5 / rate);
        Duration start = seconds(3 * (LEASE_SECONDS + window));
        simulation.run(start);
        mNamed = OptionalDouble.empty();
        strike(simulation, event, rate, window);
        double bound = bound(event, window);
        Duration end = start;
        while (!mNoticed && end.minus(start).compareTo(seconds(bound)) < 0) {
            end = end.plus(STEP);
            simulation.run(end);
        }
        assertTrue(mNoticed, "not within " + bound + " s");
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3}, {30}, {1200}};
    }

    // Guards against an upstream that stays below an equal one after its limit ended everywhere.
    @Test(dataProvider = "sizes")
    public void halfOfTheWorkIsBackFiveSecondsAfterTheEnd(int entries) {
        double rate = 0.5;
        SharedLimitSimulation simulation =
                new SharedLimitSimulation(
                        entries, 1, (time, lease) -> busyUser(time, lease, rate), STEP, false);
        double window = Math.max(5, 5 / rate);
        Duration end = seconds(3 * (LEASE_SECONDS + window));
        simulation.run(end);
        // A record reaches the other entries within the spread of reports and half a stable window.
        simulation.run(end.plus(seconds(0.1)).plus(CONFIRM_INTERVAL.dividedBy(2)));
        mDirectories.forEach(RateLimitEndTest::endLimits);
        simulation.run(end.plus(seconds(5)));
        mCalls.clear();
        simulation.run(end.plus(seconds(10)));
        double all = mCalls.values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(mCalls.get(LIMITED) / all, 0.5, 0.1, mCalls.toString());
    }

    private static void endLimits(UpstreamDirectory directory) {
        directory.all().forEach(node -> node.namedRateLimit().learn(OptionalDouble.empty(), 0));
    }

    /** An entry with two calls in each step, which overlap with those of the two steps before. */
    private SharedLimitSimulation.User busyUser(
            TimeSource time, PartitionLease lease, double rate) {
        UpstreamDirectory directory = new UpstreamDirectory(time);
        directory.put(UpstreamEntries.of("a", "orders", "north"));
        directory.put(UpstreamEntries.of("b", "orders", "north"));
        UpstreamChooser chooser = chooser(directory, time, lease);
        UpstreamNode limited = limited(directory, chooser);
        limited.namedRateLimit().learn(OptionalDouble.of(rate), time.nanoTime());
        mDirectories.add(directory);
        Deque<Optional<UpstreamNode>> active = new ArrayDeque<>();
        return () -> {
            for (int i = 0; i < CALLS_IN_A_STEP; i++) {
                Optional<UpstreamNode> node = chooser.choose(request());
                node.ifPresent(chosen -> chosen.onSent(time.nanoTime()));
                node.ifPresent(chosen -> count(chosen == limited ? LIMITED : OTHER));
                active.add(node);
            }
            while (active.size() > ACTIVE_CALLS) {
                active.poll().ifPresent(UpstreamNode::onEnded);
            }
            return false;
        };
    }

    private void count(String upstream) {
        mCalls.merge(upstream, 1, Integer::sum);
    }

    private static void strike(
            SharedLimitSimulation simulation, Event event, double rate, double window) {
        int units = Math.max(5, (int) Math.ceil(rate * window));
        Predicate<PartitionLease> shares = lease -> hasShare(lease, units, window);
        switch (event) {
            case SHARES_KILLED -> simulation.replace(shares);
            case SHARES_SUSPENDED -> simulation.suspend(shares, seconds(1000));
            case STORE_AWAY -> simulation.cutOffAll(seconds(OUTAGE_SECONDS));
            default -> {}
        }
    }

    private static boolean hasShare(PartitionLease lease, int units, double window) {
        return lease.units("rate/a", units, seconds(window)) > 0
                || lease.units("rate/b", units, seconds(window)) > 0;
    }

    /** Returns the longest time in seconds from the end of a limit until an entry notices it. */
    private static double bound(Event event, double window) {
        double undisturbed = Math.max(CONFIRM_INTERVAL.toSeconds(), window) + 1;
        double reassigned = LEASE_SECONDS + window + 1;
        return switch (event) {
            case NONE -> undisturbed;
            case SHARES_KILLED, SHARES_SUSPENDED -> EXPIRY_SECONDS + reassigned;
            case STORE_AWAY -> OUTAGE_SECONDS + reassigned;
        };
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }
}
