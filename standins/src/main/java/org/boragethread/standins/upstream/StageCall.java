package org.boragethread.standins.upstream;

import java.util.concurrent.TimeUnit;
import org.boragethread.standins.http.Exchange;

/** One running or queued call; its state is guarded by the lock of {@link CapacityModel}. */
final class StageCall {

    private final Exchange mExchange;
    private final String mRequestId;
    private final long mNumber;
    private boolean mRunning;
    private boolean mEnded;
    private long mStartNanos;

    StageCall(Exchange exchange, String requestId, long number) {
        mExchange = exchange;
        mRequestId = requestId;
        mNumber = number;
    }

    Exchange exchange() {
        return mExchange;
    }

    String requestId() {
        return mRequestId;
    }

    /** Returns the sequence number of this call at its upstream, from 0. */
    long number() {
        return mNumber;
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

    /** Ends the call and returns how long it ran, in milliseconds. */
    double end(long nowNanos) {
        mEnded = true;
        return mRunning ? (nowNanos - mStartNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1) : 0;
    }
}
