package org.boragethread.core.selection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link LocalitySelector}. */
public class LocalitySelectorTest {

    private static final int DRAWS = 2000;

    private LocalitySelector mSelector;

    @BeforeMethod
    public void createSelector() {
        mSelector = new LocalitySelector(new SplittableRandom(7));
    }

    @Test
    public void homeDataCentreIsPreferred() {
        Map<String, Integer> chosen =
                choose(
                        TestCandidates.inHomeDataCentre("a", 3, 8),
                        TestCandidates.at("b", "canelones", TestCandidates.REGION, 0, 8));
        assertEquals(chosen, Map.of("a", DRAWS));
    }

    @Test
    public void fullDataCentreOverflowsToItsRegion() {
        Map<String, Integer> chosen =
                choose(
                        TestCandidates.inHomeDataCentre("a", 8, 8),
                        TestCandidates.at("b", "canelones", TestCandidates.REGION, 7, 8),
                        TestCandidates.at("c", "far", "elsewhere", 0, 8));
        assertEquals(chosen, Map.of("b", DRAWS));
    }

    @Test
    public void excessLoadStaysInTheRegionWhenAllTiersAreFull() {
        Map<String, Integer> chosen =
                choose(
                        TestCandidates.inHomeDataCentre("a", 9, 8),
                        TestCandidates.at("b", "canelones", TestCandidates.REGION, 8, 8),
                        TestCandidates.at("c", "far", "elsewhere", 8, 8));
        assertEquals(chosen, Map.of("b", DRAWS));
    }

    @Test
    public void leavingAndExcludedUpstreamsAreNotChosen() {
        List<Candidate> candidates =
                List.of(
                        TestCandidates.asLeaving(TestCandidates.inHomeDataCentre("a", 0, 8)),
                        TestCandidates.inHomeDataCentre("b", 0, 8));
        assertEquals(
                mSelector.select(TestCandidates.request(GroupKind.PLAIN, 0, "b"), candidates),
                Optional.empty());
    }

    @Test
    public void upstreamWithoutCapacityIsTriedOnceItsReportIsOutdated() {
        Candidate failing = TestCandidates.inHomeDataCentre("a", 0, 0);
        SelectionRequest request = TestCandidates.request(GroupKind.PLAIN, 0);
        assertEquals(mSelector.select(request, List.of(failing)), Optional.empty());
        Candidate old = TestCandidates.withOwnCalls(failing, 0, Duration.ofSeconds(1));
        assertEquals(mSelector.select(request, List.of(old)), Optional.of(old));
    }

    @Test
    public void lessLoadedOfTwoIsChosen() {
        Map<String, Integer> chosen =
                choose(
                        TestCandidates.inHomeDataCentre("a", 6, 8),
                        TestCandidates.inHomeDataCentre("b", 2, 8));
        assertEquals(chosen, Map.of("b", DRAWS));
    }

    @Test
    public void ownOpenCallsCountBeforeTheyAreReported() {
        Candidate busy =
                TestCandidates.withOwnCalls(
                        TestCandidates.inHomeDataCentre("a", 0, 8), 5, Duration.ZERO);
        Map<String, Integer> chosen = choose(busy, TestCandidates.inHomeDataCentre("b", 2, 8));
        assertEquals(chosen, Map.of("b", DRAWS));
    }

    @Test
    public void outdatedReportIsReplacedByTheMean() {
        Candidate old =
                TestCandidates.withOwnCalls(
                        TestCandidates.inHomeDataCentre("a", 0, 8), 0, Duration.ofMinutes(1));
        Map<String, Integer> chosen =
                choose(
                        old,
                        TestCandidates.inHomeDataCentre("b", 2, 8),
                        TestCandidates.inHomeDataCentre("c", 7, 8));
        assertTrue(chosen.get("b") > chosen.get("a"), chosen.toString());
    }

    @Test
    public void coldUpstreamReceivesOnlyItsShareWhenReportsAreOutdated() {
        Candidate[] candidates = new Candidate[8];
        for (int i = 0; i < 7; i++) {
            candidates[i] = TestCandidates.inHomeDataCentre("warm-" + i, 0, 16);
        }
        candidates[7] = TestCandidates.inHomeDataCentre("cold", 0, 2);
        int cold = choose(candidates).getOrDefault("cold", 0);
        assertTrue(cold <= DRAWS * 2 / (7 * 16 + 2), "cold " + cold);
    }

    @Test
    public void slowUpstreamIsAvoidedUntilItsLatencyDecays() {
        ManualTimeSource time = new ManualTimeSource();
        UpstreamLatencies times = new UpstreamLatencies(time);
        for (int i = 0; i < 20; i++) {
            times.record(new UpstreamId("a"), Duration.ofMillis(500));
            times.record(new UpstreamId("b"), Duration.ofMillis(100));
            times.record(new UpstreamId("c"), Duration.ofMillis(100));
        }
        mSelector = new LocalitySelector(new SplittableRandom(7), times);
        Candidate[] candidates = {
            TestCandidates.inHomeDataCentre("a", 0, 8),
            TestCandidates.inHomeDataCentre("b", 3, 8),
            TestCandidates.inHomeDataCentre("c", 3, 8)
        };
        assertEquals(choose(candidates).getOrDefault("a", 0).intValue(), 0);
        time.advance(Duration.ofMinutes(1));
        assertTrue(choose(candidates).getOrDefault("a", 0) > 0);
    }

    private Map<String, Integer> choose(Candidate... candidates) {
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            String name =
                    mSelector
                            .select(TestCandidates.request(GroupKind.PLAIN, 0), List.of(candidates))
                            .orElseThrow()
                            .upstream()
                            .value();
            chosen.merge(name, 1, Integer::sum);
        }
        return chosen;
    }
}
