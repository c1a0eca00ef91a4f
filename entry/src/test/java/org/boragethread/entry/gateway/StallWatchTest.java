package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StallWatch}. */
public class StallWatchTest {

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private ManualTimeSource mTime;
    private StallWatch mWatch;
    private boolean mActive;
    private int mStalls;

    @BeforeMethod
    public void createWatch() {
        mTime = new ManualTimeSource();
        mWatch = new StallWatch(mTime, mTime);
        mActive = true;
        mStalls = 0;
    }

    private void start() {
        mWatch.start(() -> mActive, TIMEOUT, () -> mStalls++);
    }

    @Test
    public void silenceOfAnActiveAttemptIsNoticedOnce() {
        start();
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mStalls, 1);
    }

    @Test
    public void signOfLifePostponesTheTimeout() {
        start();
        mTime.advance(Duration.ofMillis(300));
        start();
        mTime.advance(Duration.ofMillis(300));
        assertEquals(mStalls, 0);
    }

    /**
     * The upstream found an input missing, and the stages run again for longer than the timeout.
     */
    @Test
    public void attemptThatHasEndedIsNotSilent() {
        start();
        mActive = false;
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mStalls, 0);
    }

    @Test
    public void stoppedWatchNoticesNothing() {
        start();
        mWatch.stop();
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mStalls, 0);
    }
}
