package org.boragethread.core.admission;

import java.util.List;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/** Calls that wait for admission. The gate that owns a queue guards it. */
interface CallQueue {

    /** Makes the queue of an order. */
    static CallQueue of(QueueOrder order) {
        return order == QueueOrder.FIFO ? new FifoCallQueue() : new FairCallQueue();
    }

    /** Adds a call. */
    void add(QueuedCall call);

    /** Returns the call to admit next. */
    Optional<QueuedCall> peek();

    /** Takes the call to admit next. */
    Optional<QueuedCall> poll();

    /** Takes a call out; returns false if it no longer waits. */
    boolean remove(QueuedCall call);

    /** Returns the waiting call that must leave for a newcomer, or empty if the newcomer must. */
    Optional<QueuedCall> displacedBy(AdmissionRequest newcomer);

    /** Returns the number of waiting calls that would be admitted before a newcomer. */
    int countAhead(AdmissionRequest newcomer);

    /** Returns the number of waiting calls of a priority. */
    int size(Priority priority);

    /** Returns the number of waiting calls. */
    int size();

    /** Takes out all calls. */
    List<QueuedCall> drain();
}
