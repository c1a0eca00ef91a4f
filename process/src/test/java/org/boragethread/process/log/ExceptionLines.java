package org.boragethread.process.log;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.SystemTimeSource;

/** Logs exceptions of a library, then a line of this project, with the configuration in use. */
final class ExceptionLines {

    static final int LINES = 500;
    private static final int DEPTH = 200;

    private ExceptionLines() {}

    public static void main(String[] args) {
        Logger library = LogManager.getLogger("io.netty.util.concurrent.DefaultPromise");
        for (int i = 0; i < LINES; i++) {
            library.warn("An exception was thrown by a listener", createException(DEPTH));
        }
        Logger own = LogManager.getLogger(ExceptionLines.class);
        new EventLog(own, new SystemTimeSource()).event("refused", "id-1").warn();
        LogManager.shutdown();
    }

    /** Creates an exception whose stack has at least the given depth. */
    private static RuntimeException createException(int depth) {
        return depth > 0 ? createException(depth - 1) : new IllegalStateException("no loop");
    }
}
