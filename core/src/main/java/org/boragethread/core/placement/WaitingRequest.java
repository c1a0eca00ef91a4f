package org.boragethread.core.placement;

/**
 * A request that waits for an engine.
 *
 * @param request the request
 * @param recipient receives its outcome
 * @param arrivedAt monotonic time of its arrival
 * @param sequence order of arrival
 * @param workMillis time to process its prompt at the engine that suits it best
 */
record WaitingRequest(
        PlacementRequest request,
        PlacementRecipient recipient,
        long arrivedAt,
        long sequence,
        double workMillis) {

    /** Returns the latest time at which it can start and meet its target. */
    long latestStart() {
        return request.targetNanos() - (long) (workMillis * 1e6);
    }

    /** Returns the latest time at which it can start and meet its deadline. */
    long lastStart() {
        return request.deadlineNanos() - (long) (workMillis * 1e6);
    }

    boolean isLate(long now) {
        return latestStart() < now;
    }
}
