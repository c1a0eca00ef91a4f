package org.boragethread.wire.http;

/** Control over a call that runs. */
public interface CallControl {

    /** Gives the call up: closes its connection and reports nothing more. */
    void cancel();

    /** Stops or resumes reading the response, when its receiver is slow. */
    void setReading(boolean reading);
}
