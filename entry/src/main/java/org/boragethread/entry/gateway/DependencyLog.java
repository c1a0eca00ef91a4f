package org.boragethread.entry.gateway;

import org.boragethread.process.log.EventLog;

/** Logs the loss and the recovery of a dependency of this process. */
final class DependencyLog {

    private final EventLog mLog;
    private final String mName;

    DependencyLog(EventLog log, String name) {
        mLog = log;
        mName = name;
    }

    void lost(String detail) {
        stateChange("lost").with("detail", detail).warn();
    }

    void regained() {
        stateChange("regained").info();
    }

    private EventLog.Line stateChange(String outcome) {
        return mLog.event("dependency").with("name", mName).with("outcome", outcome);
    }
}
