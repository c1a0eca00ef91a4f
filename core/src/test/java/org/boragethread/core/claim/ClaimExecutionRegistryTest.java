package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ClaimExecutionRegistry}. */
public class ClaimExecutionRegistryTest {

    private static final long INCARNATION = 9;
    private static final ClaimOutcome OUTCOME = ClaimOutcome.of(200, "", new byte[3]);
    private static final ClaimRef REF = new ClaimRef(0, 10);

    private ManualTimeSource mTime;
    private ClaimExecutionRegistry mRegistry;

    @BeforeMethod
    public void createRegistry() {
        mTime = new ManualTimeSource();
        ClaimExecutionRegistry.Limits limits =
                new ClaimExecutionRegistry.Limits(2, 100, 10, Duration.ofMinutes(1));
        mRegistry = new ClaimExecutionRegistry(limits, INCARNATION, mTime);
    }

    @Test
    public void claimBeginsOnce() {
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.STARTED);
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.ALREADY_BEGUN);
        mRegistry.recordOutcome(REF, OUTCOME);
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.ALREADY_BEGUN);
        assertEquals(query(REF, false), ClaimAnswer.done(OUTCOME));
    }

    @Test
    public void fencedClaimIsRefused() {
        assertEquals(query(REF, true).state(), ClaimAnswer.State.NEVER_SEEN);
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.FENCED);
    }

    @Test
    public void claimThatWasNotRunMayBeginAgainUntilItIsFenced() {
        mRegistry.begin(REF);
        mRegistry.recordNotRun(REF);
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.STARTED);
        mRegistry.recordNotRun(REF);
        assertEquals(query(REF, true).state(), ClaimAnswer.State.NOT_RUN);
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.FENCED);
    }

    @Test
    public void queryForOtherIncarnationIsAnsweredUnknown() {
        ClaimAnswer answer = mRegistry.query(REF, INCARNATION + 1, true);
        assertEquals(answer.state(), ClaimAnswer.State.UNKNOWN);
    }

    @Test
    public void evictedClaimIsAnsweredUnknownAndNotRunAgain() {
        run(10);
        run(11);
        run(12);
        assertEquals(query(REF, true).state(), ClaimAnswer.State.UNKNOWN);
        assertEquals(mRegistry.begin(REF), ClaimExecutionRegistry.BeginResult.INDETERMINATE);
        assertEquals(query(new ClaimRef(1, 10), false).state(), ClaimAnswer.State.NEVER_SEEN);
        assertEquals(query(new ClaimRef(0, 11), false).state(), ClaimAnswer.State.DONE);
    }

    @Test
    public void claimIsEvictedAfterItsRetentionButNeverWhileItRuns() {
        ClaimRef running = new ClaimRef(0, 3);
        mRegistry.begin(running);
        run(10);
        mTime.advance(Duration.ofMinutes(2));
        assertEquals(query(REF, false).state(), ClaimAnswer.State.UNKNOWN);
        assertEquals(query(running, false).state(), ClaimAnswer.State.RUNNING);
    }

    @Test
    public void largeBodyIsNotKept() {
        mRegistry.begin(REF);
        mRegistry.recordOutcome(REF, ClaimOutcome.of(200, "", new byte[11]));
        assertEquals(query(REF, false).outcome().orElseThrow().bodyBytes(), 0);
    }

    private void run(long offset) {
        mRegistry.begin(new ClaimRef(0, offset));
        mRegistry.recordOutcome(new ClaimRef(0, offset), OUTCOME);
    }

    private ClaimAnswer query(ClaimRef ref, boolean fence) {
        return mRegistry.query(ref, INCARNATION, fence);
    }
}
