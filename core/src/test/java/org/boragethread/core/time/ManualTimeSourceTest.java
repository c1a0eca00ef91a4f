package org.boragethread.core.time;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ManualTimeSource}. */
public class ManualTimeSourceTest {

    private ManualTimeSource mTime;
    private List<String> mRun;

    @BeforeMethod
    public void startTime() {
        mTime = new ManualTimeSource();
        mRun = new ArrayList<>();
    }

    @Test
    public void tasksRunInOrderOfTheirDueTimes() {
        mTime.schedule(Duration.ofMillis(20), () -> mRun.add("late"));
        mTime.schedule(Duration.ofMillis(10), () -> mRun.add("early"));
        mTime.advance(Duration.ofMillis(20));
        assertEquals(mRun, List.of("early", "late"));
    }

    @Test
    public void taskNotYetDueWaits() {
        mTime.schedule(Duration.ofMillis(11), () -> mRun.add("task"));
        mTime.advance(Duration.ofMillis(10));
        assertEquals(mRun, List.of());
    }

    @Test
    public void cancelledTaskNeverRuns() {
        mTime.schedule(Duration.ofMillis(1), () -> mRun.add("task")).cancel();
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(mRun, List.of());
    }
}
