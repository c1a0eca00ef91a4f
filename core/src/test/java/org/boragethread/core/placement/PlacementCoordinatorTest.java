package org.boragethread.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link PlacementCoordinator} with engines that process a prompt in a fixed time. */
public class PlacementCoordinatorTest {

    private static final int SEEDS = 20;
    private static final long MILLI = 1_000_000;
    private static final long MEMORY = PlacementSimulation.LIMITS.cacheTokens();
    private static final double MILLIS_PER_TOKEN = 0.05;
    private static final int OUTPUT_MILLIS = 300;

    private ManualTimeSource mTime;
    private PlacementCoordinator mCoordinator;
    private List<EngineStatus> mEngines;
    private Map<UpstreamId, Long> mBusyUntil;
    private Map<UpstreamId, Long> mTokens;
    private Map<PlacementKey, Object> mOutcomes;
    private Map<UpstreamId, Double> mSlowness;
    private double mLostShare;
    private SplittableRandom mRandom;
    private int mRequests;

    @BeforeMethod
    public void makeCoordinator() {
        use(4, false, 1);
    }

    private void use(int engines, boolean limitMemory, long seed) {
        mTime = new ManualTimeSource();
        mEngines = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            mEngines.add(PlacementSimulation.status(i));
        }
        mBusyUntil = new HashMap<>();
        mTokens = new HashMap<>();
        mOutcomes = new HashMap<>();
        mSlowness = new HashMap<>();
        mLostShare = 0;
        mRandom = new SplittableRandom(seed);
        mRequests = 0;
        mCoordinator =
                new PlacementCoordinator(
                        PlacementSimulation.directory(mEngines),
                        limitMemory,
                        mTime,
                        mTime,
                        Supervisors.rethrowing());
    }

    private PlacementRequest.Builder request(int targetMillis, int deadlineMillis) {
        long now = mTime.nanoTime();
        return PlacementRequest.builder(new PlacementKey("e", "r" + mRequests++, 1))
                .tokens(2000, 100)
                .firstEventBy(now + targetMillis * MILLI, now + deadlineMillis * MILLI)
                .expiry(now + (deadlineMillis + 10_000) * MILLI);
    }

    private PlacementKey place(PlacementRequest.Builder builder) {
        PlacementRequest request = builder.build();
        mCoordinator.place(request, new Sender(request));
        return request.key();
    }

    private Object outcome(PlacementKey key) {
        return mOutcomes.get(key);
    }

    private PlacementRefusal.Reason reason(PlacementKey key) {
        return outcome(key) instanceof PlacementRefusal refusal ? refusal.reason() : null;
    }

    private UpstreamId engine(PlacementKey key) {
        return outcome(key) instanceof Placement placement ? placement.engine() : null;
    }

    private void advance(int millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    /** Sends a placed request to its engine and reports what comes of it, unless that is lost. */
    private final class Sender implements PlacementListener {
        private final PlacementRequest mRequest;

        Sender(PlacementRequest request) {
            mRequest = request;
        }

        @Override
        public void onPlaced(Placement placement) {
            assertNull(mOutcomes.put(mRequest.key(), placement), "second outcome");
            UpstreamId engine = placement.engine();
            mTokens.merge(engine, mRequest.memoryTokens(), Long::sum);
            long now = mTime.nanoTime();
            boolean cached = placement.prefixCached();
            long tokens = mRequest.promptTokens() - (cached ? mRequest.prefixTokens() : 0);
            double millis = 20 + tokens * MILLIS_PER_TOKEN * mSlowness.getOrDefault(engine, 1.0);
            long end = Math.max(now, mBusyUntil.getOrDefault(engine, 0L)) + (long) (millis * MILLI);
            mBusyUntil.put(engine, end);
            Duration response = Duration.ofNanos(end - now);
            report(response, () -> mCoordinator.onFirstEvent(mRequest.key(), response));
            Duration whole = response.plusMillis(OUTPUT_MILLIS);
            mTime.schedule(whole, () -> mTokens.merge(engine, -mRequest.memoryTokens(), Long::sum));
            report(whole, () -> mCoordinator.onEnded(mRequest.key()));
        }

        private void report(Duration delay, Runnable report) {
            if (mRandom.nextDouble() >= mLostShare) {
                mTime.schedule(delay, report);
            }
        }

        @Override
        public void onRefused(PlacementRefusal refusal) {
            assertNull(mOutcomes.put(mRequest.key(), refusal), "second outcome");
            assertFalse(refusal.retryAfter().isNegative() || refusal.retryAfter().isZero());
        }
    }

    // Guards against requests that are placed twice, never answered, or whose load stays for ever
    // after lost, late and repeated messages.
    @Test
    public void everyRequestHasOneOutcomeAndNoLoadIsLeft() {
        for (int seed = 0; seed < SEEDS; seed++) {
            use(3, seed % 2 == 0, seed);
            mLostShare = 0.2;
            Map<PlacementKey, PlacementRequest> asked = new HashMap<>();
            Set<PlacementKey> withdrawn = new HashSet<>();
            for (int i = 0; i < 400; i++) {
                PlacementRequest request =
                        request(500, 200 + mRandom.nextInt(3000))
                                .priority(mRandom.nextInt(3))
                                .tokens(500 + mRandom.nextInt(9000), mRandom.nextInt(100_000))
                                .build();
                asked.put(request.key(), request);
                Sender sender = new Sender(request);
                mCoordinator.place(request, sender);
                PlacementKey any = new PlacementKey("e", "r" + mRandom.nextInt(mRequests), 1);
                switch (mRandom.nextInt(12)) {
                    case 0 -> {
                        withdrawn.add(any);
                        mCoordinator.withdraw(any);
                    }
                    case 1 -> mCoordinator.onFailed(any, PlacementFailure.BROKEN);
                    case 2 -> mCoordinator.onFirstEvent(any, Duration.ofMillis(5));
                    case 3 -> mCoordinator.reject(any);
                    case 4 -> mCoordinator.onEnded(any);
                    case 5 -> {
                        if (outcome(request.key()) == null) {
                            mCoordinator.place(request, sender);
                        }
                    }
                    default -> {}
                }
                advance(mRandom.nextInt(120));
            }
            advance(20_000);
            for (PlacementKey key : asked.keySet()) {
                assertTrue(outcome(key) != null || withdrawn.contains(key), seed + " " + key);
            }
            assertEquals(mCoordinator.placed() + mCoordinator.waiting(), 0, "seed " + seed);
            mLostShare = 0;
            for (int i = 0; i < 3; i++) {
                PlacementKey key = place(request(1, 60_000).tokens(1000, MEMORY - 1000));
                assertTrue(engine(key) != null, "memory or load is left, seed " + seed);
            }
        }
    }

    // Guards against engines that crash because the requests that they hold exceed their memory,
    // and against a large request that never fits beside the small ones that overtake it.
    @Test
    public void memoryIsNeverExceededAndLargeRequestsGetTheirTurn() {
        for (int seed = 0; seed < SEEDS; seed++) {
            use(3, true, seed);
            PlacementKey large = null;
            for (int i = 0; i < 1500; i++) {
                place(request(5000, 9000).tokens(1000, 20_000 + mRandom.nextInt(80_000)));
                if (i == 300) {
                    large = place(request(4000, 8000).priority(2).tokens(9000, MEMORY - 9000));
                }
                advance(5 + mRandom.nextInt(20));
                for (long tokens : mTokens.values()) {
                    assertTrue(tokens <= MEMORY, "seed " + seed + ": " + tokens);
                }
            }
            assertTrue(engine(large) != null, "seed " + seed + ": " + outcome(large));
        }
    }

    // Guards against a low priority that is never served while urgent requests fill the engines.
    @Test
    public void lowPriorityIsPlacedDuringAnOverload() {
        use(2, false, 1);
        PlacementKey low = null;
        for (int i = 0; i < 400; i++) {
            place(request(8000, 9000));
            if (i == 100) {
                low = place(request(8000, 9000).priority(5));
            }
            advance(25);
        }
        assertTrue(engine(low) != null, String.valueOf(outcome(low)));
    }

    // Guards against a turn, or a reservation, of a request that no engine can take at present:
    // nothing else was placed, and no other old request had its turn.
    @Test
    public void turnPassesOverRequestThatNoEngineCanTake() {
        use(1, true, 1);
        mCoordinator.setUnreported(1, 2);
        PlacementKey stuck = place(request(50_000, 60_000).tokens(2000, MEMORY * 3 / 4));
        PlacementKey low = place(request(50_000, 60_000).priority(5));
        for (int i = 0; i < 100; i++) {
            place(request(50_000, 60_000).priority(1));
            advance(25);
        }
        assertTrue(engine(low) != null, mCoordinator.placed() + " are placed");
        assertTrue(mCoordinator.waiting() > 10, "there is no queue");
        assertNull(outcome(stuck));
        mCoordinator.setUnreported(0, 2);
        advance(10_000);
        assertTrue(engine(stuck) != null, String.valueOf(outcome(stuck)));
    }

    // Guards against refusals that come after the time has run out, or that let a hopeless request
    // wait: on the heaviest day urgent requests waited 6 s and were then cancelled by their
    // callers.
    @Test
    public void hopelessRequestsAreRefusedAtOnceAndOthersWhenTheirTimeRunsOut() {
        use(1, false, 1);
        for (int i = 0; i < 30; i++) {
            place(request(3000, 30_000));
            advance(60);
        }
        PlacementKey hopeless = place(request(100, 300).priority(3));
        assertEquals(reason(hopeless), PlacementRefusal.Reason.HOPELESS);
        mSlowness.put(mEngines.get(0).id(), 20.0);
        int waiting = mCoordinator.waiting();
        PlacementKey stuck = place(request(20_000, waiting * 120 + 600).priority(3));
        long deadline = mTime.nanoTime() + (waiting * 120 + 600) * MILLI;
        while (outcome(stuck) == null) {
            advance(1);
        }
        assertEquals(reason(stuck), PlacementRefusal.Reason.EXPIRED);
        assertTrue(mTime.nanoTime() <= deadline - 100 * MILLI, "refused too late");
    }

    // Guards against a Retry-After that says nothing about when there is capacity.
    @Test
    public void retryAfterGrowsWithTheQueue() {
        use(1, false, 1);
        List<Duration> times = new ArrayList<>();
        for (int queued : new int[] {20, 20}) {
            for (int i = 0; i < queued; i++) {
                place(request(50_000, 60_000));
            }
            times.add(((PlacementRefusal) outcome(place(request(100, 400)))).retryAfter());
        }
        assertTrue(times.get(0).toMillis() > 500, times.toString());
        assertTrue(times.get(1).toMillis() > 1.5 * times.get(0).toMillis(), times.toString());
    }

    // Guards against a Retry-After of 0.3 s whatever the backlog: requests are refused as soon as
    // the wait exceeds their time, and only the excess was told.
    @Test
    public void retryAfterIsTheTimeUntilTheBacklogIsPlaced() {
        for (int deadline : new int[] {2000, 8000}) {
            use(2, false, 1);
            PlacementKey refused = place(request(1000, deadline));
            while (outcome(refused) == null || reason(refused) == null) {
                refused = place(request(1000, deadline));
            }
            long retryAfter = ((PlacementRefusal) outcome(refused)).retryAfter().toMillis();
            assertTrue(
                    retryAfter > 0.8 * deadline && retryAfter < 1.25 * deadline, "" + retryAfter);
        }
    }

    // Guards against recomputed prefixes: 1.6 million tokens were recomputed on the heaviest day
    // although some engine had them cached.
    @Test
    public void prefixesStayAtTheirEngineUntilWaitingCostsMore() {
        use(8, false, 1);
        Map<Long, Set<UpstreamId>> used = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            long prefix = 1 + mRandom.nextInt(16);
            PlacementKey key = place(request(2000, 9000).prefix(prefix, 8000).tokens(8500, 10));
            advance(60);
            used.computeIfAbsent(prefix, p -> new HashSet<>()).add(engine(key));
        }
        int copies = used.values().stream().mapToInt(Set::size).sum();
        assertTrue(copies <= 1.5 * used.size(), used.toString());
        advance(5000);
        List<PlacementKey> burst = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            burst.add(place(request(2000, 9000).prefix(99, 8000).tokens(9500, 10)));
        }
        advance(5000);
        Set<UpstreamId> popular = new HashSet<>();
        burst.forEach(key -> popular.add(engine(key)));
        assertTrue(popular.size() > 2, "a burst of one prefix uses " + popular);
    }

    // Guards against requests at an engine that has become slow while others are idle.
    @Test
    public void slowEngineIsNoticedQuickly() {
        for (int gap : new int[] {60, 150}) {
            use(4, false, 1);
            Map<UpstreamId, Integer> sent = new HashMap<>();
            for (int i = 0; i < 400; i++) {
                if (i == 200) {
                    mSlowness.put(mEngines.get(0).id(), 6.0);
                    sent.clear();
                }
                PlacementKey key = place(request(1000, 9000));
                advance(gap);
                sent.merge(engine(key), 1, Integer::sum);
            }
            int slow = sent.getOrDefault(mEngines.get(0).id(), 0);
            assertTrue(slow < 0.1 * 200, sent.toString());
        }
    }

    // Guards against a new coordinator that takes busy engines for idle ones, and against engines
    // that a request may not use.
    @Test
    public void restoredLoadAndUnusableEnginesAreRespected() {
        use(2, false, 1);
        UpstreamId busy = mEngines.get(0).id();
        List<HeldPlacement> held = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            held.add(new HeldPlacement(request(100, 9000).build(), busy, 0, false));
        }
        mCoordinator.restore(held);
        mCoordinator.restore(held);
        assertEquals(mCoordinator.placedAt(busy), 3);
        assertEquals(engine(place(request(1000, 9000))), mEngines.get(1).id());
        Set<UpstreamId> all = Set.of(busy, mEngines.get(1).id());
        PlacementKey none = place(request(1000, 9000).unusable(all));
        assertEquals(reason(none), PlacementRefusal.Reason.NO_ENGINE);
    }

    // Guards against load of a crashed run that keeps its next run from being used, against reports
    // about the old run that change the new one, and against requests at another version.
    @Test
    public void newRunStartsWithoutLoad() {
        use(1, true, 1);
        PlacementKey old = place(request(1000, 9000).tokens(1000, MEMORY - 1000));
        EngineStatus status = mEngines.get(0);
        SoftwareVersion version = new SoftwareVersion("v2");
        mEngines.set(
                0,
                new EngineStatus(
                        status.id(), 2, status.dataCentre(), false, false, Optional.of(version)));
        mCoordinator.onEnginesChanged();
        PlacementKey other = place(request(1000, 9000).forbiddenVersions(Set.of(version)));
        assertEquals(reason(other), PlacementRefusal.Reason.NO_ENGINE);
        PlacementKey next =
                place(request(1000, 9000).requiredVersion(version).tokens(1000, MEMORY - 1000));
        assertEquals(engine(next), status.id());
        mCoordinator.onFailed(old, PlacementFailure.BROKEN);
        assertEquals(mCoordinator.placedAt(status.id()), 1);
        PlacementKey waits = place(request(5000, 9000).tokens(1000, MEMORY - 1000));
        assertNull(outcome(waits), "the old run's end has freed memory of the new one");
        advance(2000);
        assertEquals(engine(waits), status.id());
    }
}
