package org.boragethread.wire.http;

/** Controls a call in progress. */
public interface CallControl {

    /** Cancels the call: closes its connection and no longer calls its listener. */
    void cancel();

    /** Pauses or resumes reading the response, to apply back pressure. */
    void setReading(boolean reading);
}
