package org.boragethread.core.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.Test;

/**
 * Tests {@link ClaimKeyStrategy}: claim keys must differ between stages, and between callers and
 * jobs.
 */
public final class ClaimKeyStrategyTest {

    private static final String JOB_KEY = "job/4f/0/0";

    @Test
    public void stagesOfARequestHaveDistinctKeys() {
        assertNotEquals(
                ClaimKeyStrategy.CALLER.claimKey("key", 0),
                ClaimKeyStrategy.CALLER.claimKey("key", 1));
    }

    @Test
    public void jobKeyIsUnchangedSoThatItsClaimIsFoundAgain() {
        assertEquals(ClaimKeyStrategy.JOB.claimKey(JOB_KEY, 0), JOB_KEY);
    }

    @Test
    public void keyOfACallerNeverEqualsTheKeyOfAJob() {
        assertNotEquals(
                ClaimKeyStrategy.CALLER.claimKey(JOB_KEY, 0),
                ClaimKeyStrategy.JOB.claimKey(JOB_KEY, 0));
    }
}
