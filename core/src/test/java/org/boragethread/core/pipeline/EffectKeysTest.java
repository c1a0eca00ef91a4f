package org.boragethread.core.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.Test;

/** Keys of claims tell stages apart, and callers from jobs. */
public final class EffectKeysTest {

    private static final String JOB_KEY = "job/4f/0/0";

    @Test
    public void stagesOfARequestHaveDifferentKeys() {
        assertNotEquals(EffectKeys.CALLER.of("key", 0), EffectKeys.CALLER.of("key", 1));
    }

    @Test
    public void jobKeepsItsKeySoThatItsClaimIsFoundAgain() {
        assertEquals(EffectKeys.JOB.of(JOB_KEY, 0), JOB_KEY);
    }

    @Test
    public void callerCannotNameTheClaimOfAJob() {
        assertNotEquals(EffectKeys.CALLER.of(JOB_KEY, 0), EffectKeys.JOB.of(JOB_KEY, 0));
    }
}
