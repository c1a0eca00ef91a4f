package org.boragethread.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StreamResumption}. */
public class StreamResumptionTest {

    private StreamResumption mStream;

    @BeforeMethod
    public void createStream() {
        mStream = new StreamResumption();
    }

    @Test
    public void nextAttemptContinuesAfterTheLastReceivedToken() {
        mStream.startAttempt(0);
        mStream.onToken(0, 0);
        mStream.onToken(0, 1);
        assertEquals(mStream.startAttempt(1), 2);
    }

    @Test
    public void tokensOfAReplacedAttemptAreDropped() {
        mStream.startAttempt(0);
        mStream.startAttempt(1);
        assertEquals(mStream.onToken(0, 0), ResumeEvent.STALE_DROPPED);
        assertEquals(mStream.onEnd(0, 0), ResumeEvent.STALE_DROPPED);
    }

    @Test
    public void tokensAfterAGapAreDropped() {
        mStream.startAttempt(0);
        assertEquals(mStream.onToken(0, 1), ResumeEvent.GAP);
        assertEquals(mStream.onToken(0, 0), ResumeEvent.STALE_DROPPED);
    }

    @Test
    public void endMarkBeforeAllTokensIsAGap() {
        mStream.startAttempt(0);
        mStream.onToken(0, 0);
        assertEquals(mStream.onEnd(0, 2), ResumeEvent.GAP);
        assertThrows(IllegalStateException.class, () -> mStream.startAttempt(0));
    }

    @Test
    public void callerReceivesEveryTokenOnceDespiteRandomFailures() {
        for (long seed = 0; seed < 200; seed++) {
            createStream();
            List<Integer> received = receive(new SplittableRandom(seed), 50);
            for (int i = 0; i < received.size(); i++) {
                assertEquals(received.get(i).intValue(), i);
            }
            assertEquals(received.size(), 50);
            assertTrue(mStream.isEnded());
        }
    }

    /** Runs attempts that fail, start too early or skip tokens until the stream ends. */
    private List<Integer> receive(SplittableRandom random, int tokens) {
        List<Integer> received = new ArrayList<>();
        for (int attempt = 0; attempt < 10_000 && !mStream.isEnded(); attempt++) {
            int from = mStream.startAttempt(attempt);
            int index = Math.max(0, from - random.nextInt(3));
            int end = Math.min(tokens, index + random.nextInt(tokens));
            while (index < end) {
                if (mStream.onToken(attempt, index) == ResumeEvent.DELIVERED) {
                    received.add(index);
                }
                index += random.nextInt(20) == 0 ? 2 : 1;
            }
            if (end == tokens) {
                mStream.onEnd(attempt, tokens);
            }
        }
        return received;
    }
}
