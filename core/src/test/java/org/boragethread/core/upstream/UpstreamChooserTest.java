package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link UpstreamChooser}. */
public class UpstreamChooserTest {

    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final DataCentreId SOUTH = new DataCentreId("south");
    private static final long PREFIX_TOKENS = 13_300;
    private static final long MEMORY_TOKENS = 440_000;
    private static final int PARTITIONS = 36;
    private static final Duration LEASE_TIME = Duration.ofSeconds(5);

    private ManualTimeSource mTime;
    private UpstreamDirectory mDirectory;
    private UpstreamChooser mChooser;
    private RoutedGroup mGroup;

    @BeforeMethod
    public void makeChooser() {
        mTime = new ManualTimeSource();
        mDirectory = new UpstreamDirectory(mTime);
        mGroup =
                new RoutedGroup(
                        new GroupId("engines"),
                        "/health",
                        370,
                        Duration.ofSeconds(3),
                        6.3,
                        Optional.of(new EngineLimits(64, MEMORY_TOKENS)),
                        Optional.empty());
        mChooser = chooser(NORTH);
        for (int i = 0; i < 8; i++) {
            String dataCentre = i % 2 == 0 ? "north" : "south";
            mDirectory.put(UpstreamEntries.of("engine-" + i, "engines", dataCentre));
        }
    }

    private UpstreamChooser chooser(DataCentreId localDataCentre) {
        return chooser(localDataCentre, new PartitionLease(mTime, PARTITIONS, LEASE_TIME));
    }

    private UpstreamChooser chooser(DataCentreId localDataCentre, PartitionLease lease) {
        return new UpstreamChooser(
                mDirectory,
                mTime,
                localDataCentre,
                Map.of(NORTH, "r1", SOUTH, "r2"),
                new ColdRateShare(new ColdRateBound(1.5, 5), lease),
                new RateLimitShare(lease, Duration.ofSeconds(3)));
    }

    private ChoiceRequest request(long affinity, Set<UpstreamNode> excluded) {
        return request(affinity, excluded, Set.of(), Set.of());
    }

    private ChoiceRequest request(
            long affinity,
            Set<UpstreamNode> excluded,
            Set<String> regions,
            Set<DataCentreId> evacuated) {
        return new ChoiceRequest(
                mGroup,
                regions,
                excluded,
                Optional.empty(),
                affinity,
                PREFIX_TOKENS,
                new ResponseTimeModel(),
                evacuated,
                Optional.empty(),
                ChoiceRequest.REMOTE_MILLIS);
    }

    private UpstreamNode choose(long affinity) {
        return mChooser.choose(request(affinity, Set.of())).orElseThrow();
    }

    @Test
    public void requestsWithTheSamePrefixGoToTheSameEngineFromEveryEntry() {
        UpstreamNode engine = choose(42);
        assertEquals(choose(42), engine);
        ChoiceRequest request = request(42, Set.of());
        assertEquals(chooser(SOUTH).choose(request).orElseThrow(), engine);
    }

    // Guards against entries without a coordinator that all overload the same idle engine.
    @Test
    public void entriesWithDifferentSeedsSpreadRequestsWithoutAPrefix() {
        Set<UpstreamNode> chosen = new HashSet<>();
        for (long seed = 1; seed <= 64; seed++) {
            chosen.add(mChooser.choose(request(0, Set.of()).withTieSeed(seed)).orElseThrow());
            ChoiceRequest shared = request(42, Set.of()).withTieSeed(seed);
            assertEquals(mChooser.choose(shared).orElseThrow(), choose(42));
        }
        // Only engines of this entry's data centre are equal.
        assertEquals(chosen.size(), 4);
    }

    // Guards against a stream that goes on at an upstream of another, or of an uncertain, version.
    @Test
    public void streamGoesOnOnlyAtUpstreamsWhoseVersionIsCertain() {
        ChoiceRequest any = request(0, Set.of());
        assertTrue(mChooser.hasCandidate(withVersion(any, "v1")));
        assertFalse(mChooser.hasCandidate(withVersion(any, "v2")));
        assertTrue(mChooser.isGroupExhausted(withVersion(any, "v2")));
        mDirectory.all().forEach(node -> node.doubtRun(mTime.nanoTime()));
        assertFalse(mChooser.hasCandidate(withVersion(any, "v1")));
        assertTrue(mChooser.hasCandidate(any));
    }

    // Guards against a request that a roll-out keeps from a version and that goes there anyway.
    @Test
    public void onlyUpstreamsThatARolloutAllowsAreChosen() {
        ChoiceRequest any = request(42, Set.of());
        UpstreamNode usual = choose(42);
        ChoiceRequest restricted =
                any.withVersions((upstream, version) -> !upstream.equals(usual.entry().id()));
        assertFalse(mChooser.choose(restricted).filter(usual::equals).isPresent());
        assertTrue(mChooser.hasCandidate(restricted));
        assertFalse(mChooser.hasCandidate(any.withVersions(VersionRule.NONE)));
    }

    private static ChoiceRequest withVersion(ChoiceRequest request, String version) {
        return new ChoiceRequest(
                request.group(),
                request.regions(),
                request.excluded(),
                Optional.of(new SoftwareVersion(version)),
                request.affinity(),
                request.prefixTokens(),
                request.times(),
                request.evacuated(),
                request.inputDataCentre(),
                request.remoteMillis());
    }

    @Test
    public void prefixesAreDistributedOverAllEngines() {
        Set<UpstreamNode> used = new HashSet<>();
        for (long affinity = 1; affinity < 200; affinity++) {
            used.add(choose(affinity));
        }
        assertEquals(used.size(), 8);
    }

    /** A single prefix accounts for much of the traffic. */
    @Test
    public void requestsWithAHotPrefixSpillOverToOtherEngines() {
        Set<UpstreamNode> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            UpstreamNode engine = choose(42);
            engine.onSent(mTime.nanoTime());
            used.add(engine);
        }
        assertTrue(used.size() > 2, "only " + used.size() + " engines are used");
    }

    /** An upstream that had asked for a pause got further requests. */
    @Test
    public void pausedEnginesGetNoRequestsUntilTheLongestPauseEnds() {
        long now = mTime.nanoTime();
        for (UpstreamNode engine : mDirectory.of(mGroup.id())) {
            engine.pauseUntil(now + Duration.ofSeconds(5).toNanos());
            engine.pauseUntil(now + Duration.ofSeconds(1).toNanos());
        }
        ChoiceRequest request = request(42, Set.of());
        for (int second = 0; second < 5; second++) {
            assertTrue(mChooser.choose(request).isEmpty(), "second " + second);
            assertFalse(mChooser.hasCandidate(request));
            assertEquals(
                    mChooser.remainingPause(request), Optional.of(Duration.ofSeconds(5 - second)));
            mTime.advance(Duration.ofSeconds(1));
        }
        assertTrue(mChooser.choose(request).isPresent());
        assertTrue(mChooser.remainingPause(request).isEmpty());
    }

    @Test
    public void requestsGoToEnginesThatDoNotPause() {
        UpstreamNode paused = choose(42);
        paused.pauseUntil(mTime.nanoTime() + Duration.ofSeconds(5).toNanos());
        assertNotEquals(choose(42), paused);
        assertTrue(mChooser.remainingPause(request(42, Set.of())).isEmpty());
    }

    @Test
    public void failedEngineIsAvoidedForAWhile() {
        UpstreamNode engine = choose(42);
        engine.onFailure(mTime.nanoTime(), false, Duration.ZERO);
        assertNotEquals(choose(42), engine);
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(choose(42), engine);
    }

    @Test
    public void upstreamsThatAreLeavingEvacuatedOrInOtherRegionsGetNoRequests() {
        for (int i = 0; i < 4; i++) {
            mDirectory.put(UpstreamEntries.of("engine-" + 2 * i, "engines", "north", true, 0));
        }
        ChoiceRequest evacuated = request(1, Set.of(), Set.of(), Set.of(SOUTH));
        assertTrue(mChooser.choose(evacuated).isEmpty());
        ChoiceRequest regional = request(1, Set.of(), Set.of("r1"), Set.of());
        assertTrue(mChooser.choose(regional).isEmpty());
        assertEquals(choose(1).entry().dataCentre(), SOUTH);
    }

    /** Engines process long prompts before they continue to generate tokens for other requests. */
    @Test
    public void engineWithPendingPromptsIsAvoidedIfAnotherHasThePrefixCached() {
        UpstreamNode first = choose(42);
        UpstreamNode second = mChooser.choose(request(42, Set.of(first))).orElseThrow();
        second.prompts().onPromptSent(42, PREFIX_TOKENS, MEMORY_TOKENS, 0);
        first.prompts().onPromptSent(7, PREFIX_TOKENS, MEMORY_TOKENS, 90);
        assertEquals(choose(42), second);
        first.prompts().onPromptDone(90);
        assertEquals(choose(42), first);
    }

    @Test
    public void onePendingPromptDoesNotCauseAPrefixMissAtAnotherEngine() {
        UpstreamNode first = choose(42);
        first.prompts().onPromptSent(7, PREFIX_TOKENS, MEMORY_TOKENS, 90);
        assertEquals(choose(42), first);
    }

    /** Large results of stages are stored in one data centre. */
    @Test
    public void requestWithLargeInputsStaysInTheirDataCentre() {
        ChoiceRequest near =
                new ChoiceRequest(
                        mGroup,
                        Set.of(),
                        Set.of(),
                        Optional.empty(),
                        42,
                        0,
                        new ResponseTimeModel(),
                        Set.of(),
                        Optional.of(SOUTH),
                        150);
        for (int i = 0; i < 12; i++) {
            UpstreamNode engine = mChooser.choose(near).orElseThrow();
            assertEquals(engine.entry().dataCentre(), SOUTH);
            engine.prompts().onPromptSent(42, PREFIX_TOKENS, MEMORY_TOKENS, 30);
        }
        assertEquals(mChooser.choose(near).orElseThrow().entry().dataCentre(), SOUTH);
    }

    /** Returns leases of some entries that are past their waiting time. */
    private PartitionLease[] leases(int entries) {
        PartitionLease[] leases = new PartitionLease[entries];
        for (int entry = 0; entry < entries; entry++) {
            leases[entry] = new PartitionLease(mTime, PARTITIONS, LEASE_TIME);
        }
        for (int renewal = 0; renewal < 9; renewal++) {
            renew(leases);
            mTime.advance(Duration.ofSeconds(1));
        }
        renew(leases);
        return leases;
    }

    /** Renews leases that divide all partitions among them. */
    private void renew(PartitionLease[] leases) {
        for (int entry = 0; entry < leases.length; entry++) {
            Set<Integer> partitions = new HashSet<>();
            for (int i = entry; i < PARTITIONS; i += leases.length) {
                partitions.add(i);
            }
            leases[entry].renew(ClockReading.now(mTime), partitions);
        }
    }

    @DataProvider
    public Object[][] entryCounts() {
        return new Object[][] {{1}, {5}, {33}, {80}};
    }

    /** A group restarts under full traffic, so that all its engines are cold. */
    @Test(dataProvider = "entryCounts")
    public void callsOfAllEntriesToAColdEngineStayWithinItsRateInAnySecond(int count) {
        PartitionLease[] leases = leases(count);
        UpstreamChooser[] entries = new UpstreamChooser[count];
        for (int i = 0; i < count; i++) {
            mDirectory = new UpstreamDirectory(mTime);
            mDirectory.put(UpstreamEntries.of("cold", "engines", "north", false, 10_000));
            entries[i] = chooser(NORTH, leases[i]);
        }
        Deque<Long> sentAt = new ArrayDeque<>();
        int maxCalls = 0;
        for (int step = 0; step < 1000; step++) {
            if (step % 200 == 0) {
                renew(leases);
            }
            for (UpstreamChooser entry : entries) {
                Optional<UpstreamNode> node = entry.choose(request(step, Set.of()));
                if (node.isPresent()) {
                    node.get().onSent(mTime.nanoTime());
                    node.get().onEnded();
                    sentAt.add(mTime.nanoTime());
                }
            }
            while (!sentAt.isEmpty() && mTime.nanoTime() - sentAt.peek() > 1_000_000_000L) {
                sentAt.poll();
            }
            maxCalls = Math.max(maxCalls, sentAt.size());
            mTime.advance(Duration.ofMillis(5));
        }
        assertTrue(maxCalls <= 6.3 * 1.5 + 5, maxCalls + " calls in one second");
        assertTrue(maxCalls >= 10, "a cold upstream must get some calls, not " + maxCalls);
    }
}
