package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.Scheduler;
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

    // Guards against a silence that is only a pause of this process.
    @Test
    public void timeInWhichTheProcessRanLateDoesNotCount() {
        Duration late = Duration.ofMillis(300);
        List<Runnable> tasks = new ArrayList<>();
        List<Duration> delays = new ArrayList<>();
        Scheduler scheduler =
                (delay, task) -> {
                    delays.add(delay);
                    tasks.add(task);
                    return () -> {};
                };
        mWatch = new StallWatch(scheduler, mTime);
        start();
        mTime.advance(TIMEOUT.plus(late));
        tasks.get(0).run();
        assertEquals(mStalls, 0);
        assertEquals(delays, List.of(TIMEOUT, late));
        mTime.advance(late);
        tasks.get(1).run();
        assertEquals(mStalls, 1);
    }

    // Guards against a long pause of this process that delays the notice of a silence as long.
    @Test
    public void longPauseOfTheProcessDelaysTheNoticeByOneTimeout() {
        List<Duration> delays = new ArrayList<>();
        List<Runnable> tasks = new ArrayList<>();
        Scheduler scheduler =
                (delay, task) -> {
                    delays.add(delay);
                    tasks.add(task);
                    return () -> {};
                };
        mWatch = new StallWatch(scheduler, mTime);
        start();
        mTime.advance(TIMEOUT.multipliedBy(30));
        tasks.get(0).run();
        assertEquals(delays, List.of(TIMEOUT, TIMEOUT));
    }

    @Test
    public void stoppedWatchNoticesNothing() {
        start();
        mWatch.stop();
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mStalls, 0);
    }
}
