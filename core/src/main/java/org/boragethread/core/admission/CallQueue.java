package org.boragethread.core.admission;

import java.util.List;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/**
 * Queue of calls that wait for admission. Not thread-safe: guarded by the lock of the admission
 * controller that owns it.
 */
interface CallQueue {

    /** Creates a queue with the given order. */
    static CallQueue of(QueueOrder order) {
        return order == QueueOrder.FIFO ? new FifoCallQueue() : new FairCallQueue();
    }

    /** Adds a call. */
    void add(QueuedCall call);

    /** Returns the call to admit next without removing it. */
    Optional<QueuedCall> peek();

    /** Removes and returns the call to admit next. */
    Optional<QueuedCall> poll();

    /** Removes a call; returns false if it is no longer queued. */
    boolean remove(QueuedCall call);

    /**
     * Returns the queued call to displace in favour of an arriving call, or empty if the arriving
     * call is to be refused.
     */
    Optional<QueuedCall> displacedBy(AdmissionRequest arriving);

    /** Returns the number of queued calls that would be admitted before an arriving call. */
    int countAhead(AdmissionRequest arriving);

    /** Returns the number of queued calls of a priority. */
    int size(Priority priority);

    /** Returns the number of queued calls. */
    int size();

    /** Removes and returns all calls. */
    List<QueuedCall> drain();
}
