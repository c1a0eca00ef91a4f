package org.boragethread.process.log;

import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.boragethread.core.time.TimeSource;

/**
 * Logs events with named fields. Each level has its own limit of lines per second. Lines beyond the
 * limit are dropped, and their number is added as a field to the next line. The appender behind
 * this log also drops lines instead of blocking.
 */
public final class EventLog {

    /** Limit for routine lines: six lines for each request that one entry accepts in a second. */
    private static final double ROUTINE_LINES_PER_SECOND = 400;

    /** Limit for lines about refusals and failures. */
    private static final double WARNING_LINES_PER_SECOND = 400;

    private final Logger mLogger;
    private final TimeSource mTime;
    private final LogRateLimiter mRoutineLimiter;
    private final LogRateLimiter mWarningLimiter;
    private long mDroppedSinceLastLine;
    private long mTotalDropped;

    /** Creates a log that writes to the given logger. */
    public EventLog(Logger logger, TimeSource time) {
        mLogger = logger;
        mTime = time;
        mRoutineLimiter = new LogRateLimiter(ROUTINE_LINES_PER_SECOND, time.nanoTime());
        mWarningLimiter = new LogRateLimiter(WARNING_LINES_PER_SECOND, time.nanoTime());
    }

    /** Starts a line about the process. */
    public Line event(String name) {
        return new Line().with("event", name);
    }

    /** Starts a line about a request. */
    public Line event(String name, String requestId) {
        return event(name).with("request", requestId);
    }

    /** Returns the total number of dropped lines. */
    public long droppedLines() {
        return mTotalDropped;
    }

    private void write(Level level, LogRateLimiter limiter, Line line, Optional<Throwable> cause) {
        if (!limiter.tryAcquire(mTime.nanoTime())) {
            mDroppedSinceLastLine++;
            mTotalDropped++;
            return;
        }
        if (mDroppedSinceLastLine > 0) {
            line.with("linesDropped", mDroppedSinceLastLine);
            mDroppedSinceLastLine = 0;
        }
        mLogger.log(level, line.mMessage, cause.orElse(null));
    }

    /** Builder for one line. */
    public final class Line {

        private final StringMapMessage mMessage = new StringMapMessage();

        /** Adds a field. */
        public Line with(String name, Object value) {
            mMessage.with(name, String.valueOf(value));
            return this;
        }

        /** Writes a routine line. */
        public void info() {
            write(Level.INFO, mRoutineLimiter, this, Optional.empty());
        }

        /** Writes a line about a refusal, a failure or an unavailable dependency. */
        public void warn() {
            write(Level.WARN, mWarningLimiter, this, Optional.empty());
        }

        /** Writes a line about an exception that was not expected, with its stack. */
        public void warn(Throwable cause) {
            write(Level.WARN, mWarningLimiter, this, Optional.of(cause));
        }
    }
}
