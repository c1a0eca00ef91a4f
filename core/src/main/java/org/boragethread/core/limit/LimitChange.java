package org.boragethread.core.limit;

import java.util.Objects;

/**
 * A change of a concurrency limit.
 *
 * @param from limit before the change, in calls
 * @param to limit after the change, in calls; may equal {@code from} if only the warm-up restarts
 * @param reason why the limit changed
 */
public record LimitChange(int from, int to, LimitChangeReason reason) {

    public LimitChange {
        Objects.requireNonNull(reason, "reason");
    }
}
