package org.boragethread.agent.call;

import com.google.protobuf.ByteString;

/** Receives the progress and the outcome of a call before the entry receives them. */
interface CallRecord {

    /** Used for calls without a claim; records nothing. */
    CallRecord NONE =
            new CallRecord() {
                @Override
                public void head(int status, String contentType) {}

                @Override
                public void data(ByteString data) {}

                @Override
                public void done() {}

                @Override
                public void notRun() {}

                @Override
                public void unknown() {}

                @Override
                public boolean outlivesEntry() {
                    return false;
                }
            };

    /** Called when a successful response of the upstream begins. */
    void head(int status, String contentType);

    /** Called for each part of the response body. */
    void data(ByteString data);

    /** Called when the response is complete. */
    void done();

    /** Called when the upstream certainly has not run the call. */
    void notRun();

    /** Called when the upstream may or may not have run the call. */
    void unknown();

    /** Returns whether a started call continues after its entry has cancelled it. */
    boolean outlivesEntry();
}
