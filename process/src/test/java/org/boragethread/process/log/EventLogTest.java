package org.boragethread.process.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests that {@link EventLog} limits its rate. */
public class EventLogTest {

    /** Guards against a log volume without limit when many requests are refused. */
    @Test
    public void linesBeyondTheLimitAreDroppedAndCounted() {
        ManualTimeSource time = new ManualTimeSource();
        EventLog log = new EventLog(LogManager.getLogger(EventLogTest.class), time);
        for (int i = 0; i < 1000; i++) {
            log.event("refused", "id-" + i).warn();
        }
        assertEquals(log.droppedLines(), 600);
        time.advance(Duration.ofSeconds(1));
        log.event("refused", "id").warn();
        assertEquals(log.droppedLines(), 600);
    }

    @Test
    public void routineLinesDoNotUseTheLimitOfWarnings() {
        ManualTimeSource time = new ManualTimeSource();
        EventLog log = new EventLog(LogManager.getLogger(EventLogTest.class), time);
        for (int i = 0; i < 500; i++) {
            log.event("sent").info();
        }
        long dropped = log.droppedLines();
        assertTrue(dropped > 0);
        log.event("refused").warn();
        assertEquals(log.droppedLines(), dropped);
    }
}
