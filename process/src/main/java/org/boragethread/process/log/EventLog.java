package org.boragethread.process.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.boragethread.core.time.TimeSource;

/**
 * Writes events with named fields. Each level has its own bound on lines a second; what is beyond
 * it is dropped, counted, and the count is a field of the next line. The appender behind it drops
 * lines too rather than wait.
 */
public final class EventLog {

    /** Bound on routine lines: six lines for each of the requests that one entry takes. */
    private static final double ROUTINE_LINES_PER_SECOND = 400;

    /** Bound on refusals and failures. */
    private static final double WARNING_LINES_PER_SECOND = 400;

    private final Logger mLogger;
    private final TimeSource mTime;
    private final LineBudget mRoutine;
    private final LineBudget mWarnings;
    private long mDropped;
    private long mDroppedInAll;

    /** Makes a log that writes to the given logger. */
    public EventLog(Logger logger, TimeSource time) {
        mLogger = logger;
        mTime = time;
        mRoutine = new LineBudget(ROUTINE_LINES_PER_SECOND, time.nanoTime());
        mWarnings = new LineBudget(WARNING_LINES_PER_SECOND, time.nanoTime());
    }

    /** Begins a line about the process. */
    public Line event(String name) {
        return new Line().with("event", name);
    }

    /** Begins a line about a request. */
    public Line event(String name, String requestId) {
        return event(name).with("request", requestId);
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return mDroppedInAll;
    }

    private void write(Level level, LineBudget budget, Line line) {
        if (!budget.tryTake(mTime.nanoTime())) {
            mDropped++;
            mDroppedInAll++;
            return;
        }
        if (mDropped > 0) {
            line.with("linesDropped", mDropped);
            mDropped = 0;
        }
        mLogger.log(level, line.mMessage);
    }

    /** One line that is being put together. */
    public final class Line {

        private final StringMapMessage mMessage = new StringMapMessage();

        /** Adds a field. */
        public Line with(String name, Object value) {
            mMessage.with(name, String.valueOf(value));
            return this;
        }

        /** Writes a routine line. */
        public void info() {
            write(Level.INFO, mRoutine, this);
        }

        /** Writes a line about a refusal, a failure or a lost dependency. */
        public void warn() {
            write(Level.WARN, mWarnings, this);
        }
    }
}
