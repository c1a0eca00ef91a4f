package org.boragethread.agent.call;

import com.google.protobuf.ByteString;

/** Receives the progress and the outcome of a call before the entry receives them. */
interface CallRecorder {

    /** Used for calls without a claim; records nothing. */
    CallRecorder NO_OP =
            new CallRecorder() {
                @Override
                public void onHead(int status, String contentType) {}

                @Override
                public void onData(ByteString data) {}

                @Override
                public void onComplete() {}

                @Override
                public void onNotRun() {}

                @Override
                public void onOutcomeUnknown() {}

                @Override
                public boolean continuesAfterCancel() {
                    return false;
                }
            };

    /** Called when a successful response of the upstream begins. */
    void onHead(int status, String contentType);

    /** Called for each part of the response body. */
    void onData(ByteString data);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the upstream certainly has not run the call. */
    void onNotRun();

    /** Called when the upstream may or may not have run the call. */
    void onOutcomeUnknown();

    /** Returns whether a started call continues after its entry has cancelled it. */
    boolean continuesAfterCancel();
}
