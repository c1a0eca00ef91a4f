package org.boragethread.core.pipeline;

/** What the caller has received of a stream, over all attempts at the stage. */
final class StreamProgress {

    private int mTokens;
    private boolean mStarted;

    void start() {
        mStarted = true;
    }

    boolean isStarted() {
        return mStarted;
    }

    void countToken() {
        mTokens++;
    }

    int tokens() {
        return mTokens;
    }
}
