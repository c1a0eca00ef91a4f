package org.boragethread.agent.call;

import com.google.protobuf.ByteString;

/** Is told what becomes of a call, before the entry is told. */
interface CallRecord {

    /** Record of a call without a claim: keeps nothing. */
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

    /** The upstream has begun a good answer. */
    void head(int status, String contentType);

    /** The next part of the answer. */
    void data(ByteString data);

    /** The answer is whole. */
    void done();

    /** The upstream certainly did not receive the call. */
    void notRun();

    /** The upstream may or may not have run the call. */
    void unknown();

    /** Tells whether a started call runs to its end although its entry has withdrawn it. */
    boolean outlivesEntry();
}
