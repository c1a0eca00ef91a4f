package org.boragethread.core.admission;

import java.util.Comparator;
import org.boragethread.core.time.Scheduler;

/** A call in a gate's queue. Guarded by the gate's lock. */
final class QueuedCall {

    /** Earliest deadline first, then order of arrival. */
    static final Comparator<QueuedCall> BY_DEADLINE =
            Comparator.comparingLong((QueuedCall call) -> call.mRequest.deadlineNanos())
                    .thenComparingLong(call -> call.mOrder);

    private static final Scheduler.Timer NO_TIMER = () -> {};

    private final AdmissionRequest mRequest;
    private final AdmissionController.Listener mListener;
    private final long mOrder;
    private final long mOfferedNanos;
    private Scheduler.Timer mTimer = NO_TIMER;
    private boolean mWaiting = true;

    QueuedCall(AdmissionRequest request, AdmissionController.Listener listener, long order, long offeredNanos) {
        mRequest = request;
        mListener = listener;
        mOrder = order;
        mOfferedNanos = offeredNanos;
    }

    AdmissionRequest request() {
        return mRequest;
    }

    AdmissionController.Listener listener() {
        return mListener;
    }

    long enqueuedNanos() {
        return mOfferedNanos;
    }

    void setTimer(Scheduler.Timer timer) {
        mTimer = timer;
    }

    boolean isQueued() {
        return mWaiting;
    }

    /** Marks the call as taken out of the queue. */
    void markRemoved() {
        mWaiting = false;
        mTimer.cancel();
    }
}
