package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ClaimStateMachine}. */
public class ClaimStateMachineTest {

    private static final long RETENTION = 1_000;
    private static final KeyHash KEY = KeyHash.of(new TeamId("patrol"), "cut-7");

    private ClaimStateMachine mMachine;
    private long mOffset;

    @BeforeMethod
    public void createStateMachine() {
        mMachine = new ClaimStateMachine(0, Duration.ofMillis(RETENTION));
        mOffset = 0;
    }

    @Test
    public void firstClaimWinsAndTheNextSeesItsHolder() {
        assertWon(claim(0, "a", 1));
        ClaimApplyResult.Lost lost = (ClaimApplyResult.Lost) claim(1, "b", 1);
        assertEquals(lost.holder().ref().offset(), 0);
    }

    @Test
    public void otherBodyUnderTheSameKeyIsRefused() {
        claim(0, "a", 1);
        assertTrue(claim(1, "b", 2) instanceof ClaimApplyResult.KeyReused);
    }

    @Test
    public void releaseOfTheOpenClaimFreesTheKey() {
        claim(0, "a", 1);
        release(1, 0, 0);
        assertWon(claim(2, "b", 1));
    }

    @Test
    public void releaseOfAnEarlierClaimHasNoEffect() {
        claim(0, "a", 1);
        release(1, 0, 0);
        claim(2, "b", 1);
        assertTrue(release(3, 0, 0) instanceof ClaimApplyResult.Ignored);
        assertEquals(status(), ClaimStatus.OPEN);
    }

    @Test
    public void releaseThatDoesNotKnowOfAHandoverHasNoEffect() {
        claim(0, "a", 1);
        apply(1, "h", new ClaimRecord.Handover(0, 1, target()));
        assertTrue(release(2, 0, 0) instanceof ClaimApplyResult.Ignored);
    }

    @Test
    public void repeatedHandoverHasNoEffect() {
        claim(0, "a", 1);
        apply(1, "h", new ClaimRecord.Handover(0, 1, target()));
        ClaimApplyResult result = apply(2, "h", new ClaimRecord.Handover(0, 1, target()));
        assertTrue(result instanceof ClaimApplyResult.Ignored);
    }

    @Test
    public void repeatedRecordOfAReleasedOrLostClaimDoesNotWin() {
        claim(0, "a", 1);
        claim(1, "b", 1);
        release(2, 0, 0);
        assertTrue(claim(3, "a", 1) instanceof ClaimApplyResult.Ignored);
        assertTrue(claim(4, "b", 1) instanceof ClaimApplyResult.Ignored);
    }

    @Test
    public void firstOutcomeCounts() {
        claim(0, "a", 1);
        apply(1, "o", new ClaimRecord.Outcome(0, 200, "", false));
        apply(2, "p", new ClaimRecord.Outcome(0, 500, "", false));
        assertEquals(mMachine.find(KEY).orElseThrow().outcomeOffset(), 1);
        assertTrue(release(3, 0, 0) instanceof ClaimApplyResult.Ignored);
    }

    @Test
    public void claimExpiresByTheTimeOfLaterRecords() {
        claim(0, "a", 1);
        assertTrue(claim(RETENTION - 1, "b", 1) instanceof ClaimApplyResult.Lost);
        assertWon(claim(RETENTION, "c", 1));
        assertEquals(mMachine.size(), 1);
    }

    @Test
    public void keySeenSoonAfterATruncatedStartIsUncertainUntilARetentionPeriodWithoutClaims() {
        mMachine.restart(40);
        mOffset = 40;
        assertUncertain(claim(0, "a", 1));
        assertUncertain(claim(RETENTION / 2, "b", 1));
        assertUncertain(claim(RETENTION + RETENTION / 4, "c", 1));
        assertWon(claim(3 * RETENTION, "d", 1));
    }

    @Test
    public void keyFirstSeenLongAfterATruncatedStartIsCertain() {
        mMachine.restart(40);
        mMachine.skip(40, 0);
        mOffset = 41;
        assertWon(claim(RETENTION, "a", 1));
    }

    // Without the uncertain status, the truncated state machine would mistake the loser for the
    // holder.
    @Test
    public void truncatedStreamNeverLetsAClaimWinThatLosesInTheFullStream() {
        ClaimStateMachine truncated = new ClaimStateMachine(0, Duration.ofMillis(RETENTION));
        claim(0, "a", 1);
        truncated.restart(1);
        for (int i = 1; i <= 20; i++) {
            long time = i * (RETENTION - 1) / 3;
            boolean winsTruncated =
                    truncated.apply(i, time, "b" + i, record(1)) instanceof ClaimApplyResult.Won;
            boolean winsFull = claim(time, "b" + i, 1) instanceof ClaimApplyResult.Won;
            assertTrue(winsFull || !winsTruncated, "claim " + i);
        }
    }

    @Test
    public void recordsAreDecodedAsEncoded() {
        ClaimRecord.Outcome outcome = new ClaimRecord.Outcome(7, 200, "text/plain", false);
        byte[] data = ClaimTable.CODEC.encode(outcome, "a\nb".getBytes());
        assertEquals(ClaimTable.CODEC.decode(data).orElseThrow().header(), outcome);
        assertEquals(ClaimTable.CODEC.decode(data).orElseThrow().payload(), "a\nb".getBytes());
        byte[] claim = ClaimTable.CODEC.encode(record(3));
        assertEquals(ClaimTable.CODEC.decode(claim).orElseThrow().header(), record(3));
        assertEquals(ClaimTable.CODEC.decode("junk\n".getBytes()), Optional.empty());
    }

    private static void assertWon(ClaimApplyResult result) {
        assertTrue(result instanceof ClaimApplyResult.Won, result.toString());
    }

    private static void assertUncertain(ClaimApplyResult result) {
        assertEquals(((ClaimApplyResult.Lost) result).holder().status(), ClaimStatus.UNCERTAIN);
    }

    private ClaimStatus status() {
        return mMachine.find(KEY).orElseThrow().status();
    }

    private ClaimApplyResult claim(long time, String id, long body) {
        return apply(time, id, record(body));
    }

    private static ClaimRecord.Claim record(long body) {
        EntryId entry = new EntryId("entry-1");
        return new ClaimRecord.Claim(KEY, body, new RequestId(1, 2), entry, 0, target());
    }

    private static ClaimTarget target() {
        return new ClaimTarget(new UpstreamId("orders-1"), 5);
    }

    private ClaimApplyResult release(long time, long claim, int handovers) {
        ClaimRecord.Release release =
                new ClaimRecord.Release(claim, handovers, ReleaseProof.AGENT_FENCED);
        return apply(time, "r" + mOffset, release);
    }

    private ClaimApplyResult apply(long time, String id, ClaimRecord record) {
        return mMachine.apply(mOffset++, time, id, record);
    }
}
