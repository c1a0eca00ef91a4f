package org.boragethread.core.admission;

import java.util.Comparator;
import org.boragethread.core.time.Scheduler;

/** A call in the queue of an admission controller. Guarded by the controller's lock. */
final class QueuedCall {

    /** Orders calls by earliest deadline, then by arrival. */
    static final Comparator<QueuedCall> BY_DEADLINE =
            Comparator.comparingLong((QueuedCall call) -> call.mRequest.deadlineNanos())
                    .thenComparingLong(call -> call.mSequence);

    private static final Scheduler.Timer NO_TIMER = () -> {};

    private final AdmissionRequest mRequest;
    private final AdmissionController.Listener mListener;
    private final long mSequence;
    private final long mEnqueuedNanos;
    private Scheduler.Timer mTimer = NO_TIMER;
    private boolean mQueued = true;

    QueuedCall(
            AdmissionRequest request,
            AdmissionController.Listener listener,
            long sequence,
            long enqueuedNanos) {
        mRequest = request;
        mListener = listener;
        mSequence = sequence;
        mEnqueuedNanos = enqueuedNanos;
    }

    AdmissionRequest request() {
        return mRequest;
    }

    AdmissionController.Listener listener() {
        return mListener;
    }

    long enqueuedNanos() {
        return mEnqueuedNanos;
    }

    void setTimer(Scheduler.Timer timer) {
        mTimer = timer;
    }

    boolean isQueued() {
        return mQueued;
    }

    /** Marks the call as removed from the queue and cancels its deadline check. */
    void markRemoved() {
        mQueued = false;
        mTimer.cancel();
    }
}
