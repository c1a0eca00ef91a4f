package org.boragethread.process.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests that {@link EventLog} stays within its volume. */
public class EventLogTest {

    /** Pattern: a storm of refusals, each of which is worth a line. */
    @Test
    public void linesBeyondTheBoundAreDroppedAndCounted() {
        ManualTimeSource time = new ManualTimeSource();
        EventLog log = new EventLog(LogManager.getLogger(EventLogTest.class), time);
        for (int i = 0; i < 1000; i++) {
            log.event("refused", "id-" + i).warn();
        }
        assertEquals(log.dropped(), 600);
        time.advance(Duration.ofSeconds(1));
        log.event("refused", "id").warn();
        assertEquals(log.dropped(), 600);
    }

    @Test
    public void routineLinesDoNotUseUpTheBoundOfWarnings() {
        ManualTimeSource time = new ManualTimeSource();
        EventLog log = new EventLog(LogManager.getLogger(EventLogTest.class), time);
        for (int i = 0; i < 500; i++) {
            log.event("sent").info();
        }
        long dropped = log.dropped();
        assertTrue(dropped > 0);
        log.event("refused").warn();
        assertEquals(log.dropped(), dropped);
    }
}
