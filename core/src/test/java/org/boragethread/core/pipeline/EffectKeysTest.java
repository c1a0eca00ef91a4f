package org.boragethread.core.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.Test;

/**
 * Tests {@link EffectKeys}: claim keys must differ between stages, and between callers and jobs.
 */
public final class EffectKeysTest {

    private static final String JOB_KEY = "job/4f/0/0";

    @Test
    public void stagesOfARequestHaveDistinctKeys() {
        assertNotEquals(EffectKeys.CALLER.of("key", 0), EffectKeys.CALLER.of("key", 1));
    }

    @Test
    public void jobKeyIsUnchangedSoThatItsClaimIsFoundAgain() {
        assertEquals(EffectKeys.JOB.of(JOB_KEY, 0), JOB_KEY);
    }

    @Test
    public void keyOfACallerNeverEqualsTheKeyOfAJob() {
        assertNotEquals(EffectKeys.CALLER.of(JOB_KEY, 0), EffectKeys.JOB.of(JOB_KEY, 0));
    }
}
