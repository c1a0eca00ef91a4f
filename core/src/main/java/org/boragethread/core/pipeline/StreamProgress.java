package org.boragethread.core.pipeline;

/** How much of a stream the caller has received, over all attempts of the stage. */
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

    int tokenCount() {
        return mTokens;
    }
}
