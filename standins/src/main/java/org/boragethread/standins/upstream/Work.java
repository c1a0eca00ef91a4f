package org.boragethread.standins.upstream;

import java.util.concurrent.TimeUnit;
import org.boragethread.standins.http.Exchange;

/** One call that an upstream holds, waiting or running. Its capacity model guards its state. */
final class Work {

    private final Exchange mExchange;
    private final String mRequestId;
    private final long mSlot;
    private boolean mRunning;
    private boolean mEnded;
    private long mStartNanos;

    Work(Exchange exchange, String requestId, long slot) {
        mExchange = exchange;
        mRequestId = requestId;
        mSlot = slot;
    }

    Exchange exchange() {
        return mExchange;
    }

    String requestId() {
        return mRequestId;
    }

    /** Returns the number of this call at its upstream, from 0. */
    long slot() {
        return mSlot;
    }

    boolean isRunning() {
        return mRunning;
    }

    boolean isEnded() {
        return mEnded;
    }

    void start(long nowNanos) {
        mRunning = true;
        mStartNanos = nowNanos;
    }

    /** Ends the call and returns the time of work on it, in milliseconds. */
    double end(long nowNanos) {
        mEnded = true;
        return mRunning ? (nowNanos - mStartNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) : 0;
    }
}
