package org.boragethread.core.admission;

import java.util.Comparator;
import org.boragethread.core.time.Scheduler;

/** A call in a gate's queue. Guarded by the gate's lock. */
final class WaitingCall {

    /** Earliest deadline first, then order of arrival. */
    static final Comparator<WaitingCall> BY_DEADLINE =
            Comparator.comparingLong((WaitingCall call) -> call.mRequest.deadlineNanos())
                    .thenComparingLong(call -> call.mOrder);

    private static final Scheduler.Timer NO_TIMER = () -> {};

    private final GateRequest mRequest;
    private final Gate.Listener mListener;
    private final long mOrder;
    private final long mOfferedNanos;
    private Scheduler.Timer mTimer = NO_TIMER;
    private boolean mWaiting = true;

    WaitingCall(GateRequest request, Gate.Listener listener, long order, long offeredNanos) {
        mRequest = request;
        mListener = listener;
        mOrder = order;
        mOfferedNanos = offeredNanos;
    }

    GateRequest request() {
        return mRequest;
    }

    Gate.Listener listener() {
        return mListener;
    }

    long offeredNanos() {
        return mOfferedNanos;
    }

    void setTimer(Scheduler.Timer timer) {
        mTimer = timer;
    }

    boolean isWaiting() {
        return mWaiting;
    }

    /** Marks the call as taken out of the queue. */
    void leave() {
        mWaiting = false;
        mTimer.cancel();
    }
}
