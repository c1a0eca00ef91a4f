package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link PromptLoad}. */
public class PromptLoadTest {

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {
            {440_000L, 13_300L, 23}, {592_000L, 6_300L, 65}, {40_000L, 500L, 56}
        };
    }

    /** The number of prefixes that stay cached depends on their length and the engine's memory. */
    @Test(dataProvider = "engines")
    public void asManyPrefixesAsTheMemoryHoldsAreAssumedToBeCached(
            long memoryTokens, long prefixTokens, int prefixes) {
        PromptLoad load = new PromptLoad();
        for (int i = 1; i <= prefixes; i++) {
            load.onPromptSent(i, prefixTokens, memoryTokens, 0);
        }
        assertTrue(load.isPrefixCached(1));
        load.onPromptSent(prefixes + 1, prefixTokens, memoryTokens, 0);
        assertFalse(load.isPrefixCached(2) && load.isPrefixCached(1));
        assertTrue(load.isPrefixCached(prefixes + 1));
    }

    @Test
    public void prefixThatExceedsTheMemoryIsTheOnlyOne() {
        PromptLoad load = new PromptLoad();
        load.onPromptSent(1, 500, 1000, 0);
        load.onPromptSent(2, 5000, 1000, 0);
        assertFalse(load.isPrefixCached(1));
        assertTrue(load.isPrefixCached(2));
    }

    @Test
    public void promptsArePendingUntilTheyAreDone() {
        PromptLoad load = new PromptLoad();
        load.onPromptSent(1, 500, 1000, 40);
        load.onPromptSent(1, 500, 1000, 20);
        load.onPromptDone(40);
        assertEquals(load.pendingMillis(), 20, 1e-9);
    }
}
