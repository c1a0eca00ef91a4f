package org.boragethread.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the decisions of one process on parts of prompts under which upstreams crashed. */
public class QuarantineTest {

    private static final Duration WINDOW = Duration.ofSeconds(3);
    private static final Duration BLOCK_TIME = Duration.ofMinutes(10);
    private static final Suspect BAD = part(0xbad);
    private static final Suspect SOUND = part(1);
    private static final Suspect OTHER = part(2);

    private ManualTimeSource mTime;
    private List<CrashReport> mReports;
    private List<Suspect> mRefutable;
    private Quarantine mQuarantine;

    private static Suspect part(long id) {
        return Suspect.part(new GroupId("engines"), id);
    }

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mReports = new ArrayList<>();
        mRefutable = new ArrayList<>();
        mQuarantine = create("first");
    }

    private Quarantine create(String name) {
        return new Quarantine(
                mTime, name, BlockTimes.of(WINDOW, BLOCK_TIME), new RecordingListener());
    }

    /** Crashes upstreams one after the other, each under a request sent after the last crash. */
    private void crashInTurn(int count, Suspect... parts) {
        for (int i = 0; i < count; i++) {
            var precedents = mQuarantine.precedents(List.of(parts));
            mQuarantine.reportCrash("run-" + mReports.size(), precedents);
            mTime.advance(Duration.ofSeconds(1));
        }
    }

    private boolean isBlocked(Suspect... parts) {
        return mQuarantine.findBlock(List.of(parts)).isPresent();
    }

    @Test
    public void partIsBlockedWhenThreeCrashesFollowedOneAnother() {
        crashInTurn(2, BAD);
        assertFalse(isBlocked(BAD));
        crashInTurn(1, BAD);
        assertTrue(isBlocked(BAD));
        assertFalse(isBlocked(part(3)));
    }

    // Guards against blocks after upstreams of one rack crash together.
    @Test
    public void crashesAtTheSameTimeBlockNothing() {
        var precedents = mQuarantine.precedents(List.of(SOUND));
        for (int i = 0; i < 20; i++) {
            mQuarantine.reportCrash("run-" + i, precedents);
        }
        assertFalse(isBlocked(SOUND));
    }

    @Test
    public void partOfAnotherGroupIsNotBlocked() {
        crashInTurn(3, BAD);
        assertFalse(isBlocked(Suspect.part(new GroupId("others"), BAD.id())));
    }

    // Guards against a sound part that is refused with the crashing one beside it.
    @Test
    public void companionIsServedWithoutTheCrashingPart() {
        crashInTurn(5, SOUND, BAD);
        assertTrue(isBlocked(SOUND, BAD));
        assertFalse(isBlocked(SOUND, OTHER));
    }

    @Test
    public void completeResponseClearsEarlierCrashesOnly() {
        crashInTurn(3, SOUND);
        long start = mQuarantine.learnedReports();
        crashInTurn(1, SOUND);
        mQuarantine.onResponse(List.of(SOUND), start);
        assertFalse(isBlocked(SOUND));
        crashInTurn(2, SOUND);
        assertTrue(isBlocked(SOUND));
    }

    @Test
    public void refutationIsReportedOnlyIfOthersSuspectThePart() {
        crashInTurn(1, SOUND);
        mQuarantine.onResponse(List.of(SOUND), mQuarantine.learnedReports());
        assertTrue(mRefutable.isEmpty());
        mQuarantine.addCrash(report("run-9", "second", SOUND, Set.of("run-0")));
        assertEquals(mRefutable, List.of(SOUND));
        RefutationReport refutation = mQuarantine.unreportedRefutation(SOUND).orElseThrow();
        assertEquals(refutation.crashes(), Set.of("run-0"));
        mQuarantine.addRefutation(refutation);
        assertTrue(mQuarantine.unreportedRefutation(SOUND).isEmpty());
    }

    private CrashReport report(String crash, String reporter, Suspect part, Set<String> after) {
        return new CrashReport(crash, reporter, mTime.instant(), Map.of(part, after));
    }

    // Guards against decisions that depend on the order in which the store delivers records.
    @Test
    public void reportsInReverseOrderGiveTheSameDecision() {
        crashInTurn(4, BAD, SOUND);
        RefutationReport refutation =
                new RefutationReport(SOUND, "second", mTime.instant(), Set.of("run-0", "run-1"));
        mQuarantine.addRefutation(refutation);
        Quarantine other = create("other");
        other.addRefutation(refutation);
        for (int i = mReports.size() - 1; i >= 0; i--) {
            other.addCrash(mReports.get(i));
            other.addCrash(mReports.get(i));
        }
        for (Collection<Suspect> parts :
                List.of(List.of(BAD), List.of(SOUND), List.of(BAD, SOUND))) {
            assertEquals(
                    other.findBlock(parts).map(QuarantineBlock::suspect),
                    mQuarantine.findBlock(parts).map(QuarantineBlock::suspect));
        }
        assertEquals(other.findBlock(List.of(BAD)).orElseThrow().crashes(), 4);
    }

    @Test
    public void malformedCircularReportsAreHarmless() {
        mQuarantine.addCrash(report("a", "second", BAD, Set.of("b")));
        mQuarantine.addCrash(report("b", "second", BAD, Set.of("a")));
        assertFalse(isBlocked(BAD));
    }

    // Guards against a part that is blocked for good, and against trials without end.
    @Test
    public void oneRequestIsTriedWhenTheBlockEndsAndACrashRenewsItForLonger() {
        crashInTurn(5, BAD);
        Duration remaining = mQuarantine.findBlock(List.of(BAD)).orElseThrow().remaining();
        mTime.advance(remaining);
        assertFalse(isBlocked(BAD));
        mQuarantine.onSent(List.of(BAD));
        assertTrue(isBlocked(BAD));
        crashInTurn(1, BAD);
        Duration renewed = mQuarantine.findBlock(List.of(BAD)).orElseThrow().remaining();
        assertTrue(renewed.compareTo(remaining) > 0);
    }

    @Test
    public void completeResponseOfATrialEndsTheBlock() {
        crashInTurn(5, BAD);
        mQuarantine.onResponse(List.of(BAD), mQuarantine.learnedReports());
        assertFalse(isBlocked(BAD));
        assertEquals(mRefutable, List.of(BAD));
    }

    // Guards against many harmless parts that push the crashing one out of memory.
    @Test
    public void manyOtherPartsDoNotDisplaceTheCrashingOne() {
        crashInTurn(5, BAD);
        for (int i = 0; i < 20_000; i++) {
            mQuarantine.addCrash(report("run-x" + i, "second", part(10_000 + i), Set.of()));
        }
        assertTrue(isBlocked(BAD));
        assertFalse(mQuarantine.hasEvidence(part(10_000)));
    }

    @Test
    public void evidenceIsForgottenWithoutFurtherCrashes() {
        crashInTurn(1, SOUND);
        mTime.advance(BLOCK_TIME.plusSeconds(1));
        mQuarantine.expire();
        assertFalse(mQuarantine.hasEvidence(SOUND));
    }

    @Test
    public void operatorDecisionGoesBeforeTheEvidence() {
        crashInTurn(5, BAD);
        mQuarantine.setOverride(BAD, Optional.of(QuarantineOverride.ALLOW));
        assertFalse(isBlocked(BAD));
        mQuarantine.setOverride(SOUND, Optional.of(QuarantineOverride.BLOCK));
        assertTrue(isBlocked(SOUND));
        mQuarantine.setOverride(BAD, Optional.empty());
        mQuarantine.setOverride(SOUND, Optional.empty());
        assertTrue(isBlocked(BAD));
        assertFalse(isBlocked(SOUND));
    }

    // Guards against a request that ends one engine after the other by its own repeats.
    @Test
    public void requestWithSuspectPartIsNotRepeated() {
        crashInTurn(1, BAD);
        assertFalse(mQuarantine.isSuspect(List.of(BAD)));
        crashInTurn(1, BAD);
        assertTrue(mQuarantine.isSuspect(List.of(SOUND, BAD)));
    }

    /** Records what other processes would have to know. */
    private final class RecordingListener implements Quarantine.Listener {

        @Override
        public void onCrash(CrashReport report) {
            mReports.add(report);
        }

        @Override
        public void onRefutable(Suspect part) {
            mRefutable.add(part);
        }

        @Override
        public void onBlocked(QuarantineBlock block) {
            assertEquals(block.firstReporter(), "first");
        }

        @Override
        public void onUnblocked(Suspect part) {
            assertFalse(mQuarantine.findBlock(List.of(part)).isPresent());
        }
    }
}
