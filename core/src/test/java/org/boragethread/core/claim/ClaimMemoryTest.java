package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ClaimMemory}. */
public class ClaimMemoryTest {

    private static final long INCARNATION = 9;
    private static final ClaimOutcome OUTCOME = ClaimOutcome.of(200, "", new byte[3]);
    private static final ClaimRef REF = new ClaimRef(0, 10);

    private ManualTimeSource mTime;
    private ClaimMemory mMemory;

    @BeforeMethod
    public void makeMemory() {
        mTime = new ManualTimeSource();
        ClaimMemory.Limits limits = new ClaimMemory.Limits(2, 100, 10, Duration.ofMinutes(1));
        mMemory = new ClaimMemory(limits, INCARNATION, mTime);
    }

    @Test
    public void claimBeginsOnce() {
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.STARTED);
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.SEEN);
        mMemory.done(REF, OUTCOME);
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.SEEN);
        assertEquals(ask(REF, false), ClaimAnswer.done(OUTCOME));
    }

    @Test
    public void fencedClaimIsRefused() {
        assertEquals(ask(REF, true).state(), ClaimAnswer.State.NEVER_SEEN);
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.FENCED);
    }

    @Test
    public void claimThatWasNotRunMayBeginAgainUntilItIsFenced() {
        mMemory.begin(REF);
        mMemory.notRun(REF);
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.STARTED);
        mMemory.notRun(REF);
        assertEquals(ask(REF, true).state(), ClaimAnswer.State.NOT_RUN);
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.FENCED);
    }

    @Test
    public void otherIncarnationCannotVouch() {
        ClaimAnswer answer = mMemory.ask(REF, INCARNATION + 1, true);
        assertEquals(answer.state(), ClaimAnswer.State.UNKNOWN);
    }

    @Test
    public void forgottenClaimIsNeitherVouchedForNorRunAgain() {
        run(10);
        run(11);
        run(12);
        assertEquals(ask(REF, true).state(), ClaimAnswer.State.UNKNOWN);
        assertEquals(mMemory.begin(REF), ClaimMemory.Begin.NOT_VOUCHED);
        assertEquals(ask(new ClaimRef(1, 10), false).state(), ClaimAnswer.State.NEVER_SEEN);
        assertEquals(ask(new ClaimRef(0, 11), false).state(), ClaimAnswer.State.DONE);
    }

    @Test
    public void claimIsForgottenAfterTheWindowButNeverWhileItRuns() {
        ClaimRef running = new ClaimRef(0, 3);
        mMemory.begin(running);
        run(10);
        mTime.advance(Duration.ofMinutes(2));
        assertEquals(ask(REF, false).state(), ClaimAnswer.State.UNKNOWN);
        assertEquals(ask(running, false).state(), ClaimAnswer.State.RUNNING);
    }

    @Test
    public void largeBodyIsNotKept() {
        mMemory.begin(REF);
        mMemory.done(REF, ClaimOutcome.of(200, "", new byte[11]));
        assertEquals(ask(REF, false).outcome().orElseThrow().keptBytes(), 0);
    }

    private void run(long offset) {
        mMemory.begin(new ClaimRef(0, offset));
        mMemory.done(new ClaimRef(0, offset), OUTCOME);
    }

    private ClaimAnswer ask(ClaimRef ref, boolean fence) {
        return mMemory.ask(ref, INCARNATION, fence);
    }
}
