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
    private List<String> mExecuted;

    @BeforeMethod
    public void startTime() {
        mTime = new ManualTimeSource();
        mExecuted = new ArrayList<>();
    }

    @Test
    public void tasksRunInOrderOfTheirDueTimes() {
        mTime.schedule(Duration.ofMillis(20), () -> mExecuted.add("late"));
        mTime.schedule(Duration.ofMillis(10), () -> mExecuted.add("early"));
        mTime.advance(Duration.ofMillis(20));
        assertEquals(mExecuted, List.of("early", "late"));
    }

    @Test
    public void taskDoesNotRunBeforeItsDueTime() {
        mTime.schedule(Duration.ofMillis(11), () -> mExecuted.add("task"));
        mTime.advance(Duration.ofMillis(10));
        assertEquals(mExecuted, List.of());
    }

    @Test
    public void cancelledTaskNeverRuns() {
        mTime.schedule(Duration.ofMillis(1), () -> mExecuted.add("task")).cancel();
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(mExecuted, List.of());
    }
}
