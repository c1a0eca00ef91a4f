package org.boragethread.entry.gateway;

import org.boragethread.process.log.EventLog;

/** Logs when something that this process depends on is lost and regained. */
final class DependencyLog {

    private final EventLog mLog;
    private final String mName;

    DependencyLog(EventLog log, String name) {
        mLog = log;
        mName = name;
    }

    void lost(String detail) {
        line("lost").with("detail", detail).warn();
    }

    void regained() {
        line("regained").info();
    }

    private EventLog.Line line(String outcome) {
        return mLog.event("dependency").with("name", mName).with("outcome", outcome);
    }
}
