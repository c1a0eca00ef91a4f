package org.boragethread.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.Test;

/** Tests the sums over entries where an upstream crashes. */
public class EvidenceTotalsTest {

    private static final RolloutState STATE =
            RolloutState.begin(
                    new RolloutRequest(
                            RolloutSimulation.GROUP,
                            RolloutSimulation.TARGET,
                            Duration.ofSeconds(60)),
                    0,
                    1,
                    List.of());
    private static final int ENTRIES = 20;

    private final ManualTimeSource mTime = new ManualTimeSource();

    private static void add(EvidenceTotals totals, List<ResponseCounter> entries, long sequence) {
        for (int i = 0; i < entries.size(); i++) {
            RolloutEvidence evidence = entries.get(i).evidence();
            totals.add(new EntryReport("entry-" + i, 1, sequence, STATE, 0, evidence));
        }
    }

    private static void fail(List<ResponseCounter> entries, int failuresPerEntry) {
        for (int i = 0; i < failuresPerEntry * entries.size(); i++) {
            entries.get(i % entries.size())
                    .onFailure("route-" + i % 3, VersionSide.TARGET, new UpstreamId("trial"));
        }
    }

    private List<ResponseCounter> entries() {
        List<ResponseCounter> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new ResponseCounter(mTime));
        }
        return entries;
    }

    /** Guards against one crash that counts once for each entry. */
    @Test
    public void failuresOfOneCrashAreLimitedOverAllEntries() {
        List<ResponseCounter> entries = entries();
        EvidenceTotals totals = new EvidenceTotals();
        fail(entries, 2);
        add(totals, entries, 1);
        add(totals, entries, 2);
        assertEquals(totals.sum().total(VersionSide.TARGET).failures(), 3);
        assertEquals(totals.sum().total(VersionSide.TARGET).allFailures(), 2 * ENTRIES);
        mTime.advance(Duration.ofSeconds(2));
        fail(entries, 1);
        add(totals, entries, 3);
        assertEquals(totals.sum().total(VersionSide.TARGET).failures(), 6, "another second");
    }

    /** Guards against a good version that is rolled back as one of its upstreams crashes. */
    @Test
    public void oneCrashWithManyRequestsInFlightIsNoReasonToRollBack() {
        List<ResponseCounter> entries = entries();
        EvidenceTotals totals = new EvidenceTotals();
        EvidenceReview review = new EvidenceReview();
        for (int i = 0; i < 300 * ENTRIES; i++) {
            VersionSide side = i / ENTRIES % 10 == 0 ? VersionSide.TARGET : VersionSide.OLD;
            entries.get(i % ENTRIES).onResponse("route-" + i % 3, side, OptionalDouble.of(1));
        }
        add(totals, entries, 1);
        review.update(totals.sum(), 1000, 0.3);
        fail(entries, 3);
        add(totals, entries, 2);
        review.update(totals.sum(), 1500, 0.31);
        assertTrue(PhaseDecision.rollBack(review).isEmpty(), review.verdicts().toString());
    }
}
