package org.boragethread.core.placement;

import java.time.Duration;

/**
 * Says that a request was not placed and does not wait any more. It has reached no engine.
 *
 * @param key identity of the request
 * @param reason why it was refused
 * @param retryAfter time after which there will probably be capacity for such a request, not
 *     spread; whoever answers the caller spreads it
 * @param waited time for which the request waited at the coordinator; zero if refused at once
 */
public record PlacementRefusal(
        PlacementKey key, Reason reason, Duration retryAfter, Duration waited) {

    /** Why a request is refused. */
    public enum Reason {
        /** No engine could produce the first event before the deadline, known on arrival. */
        HOPELESS,
        /** The time ran out while the request waited. */
        EXPIRED,
        /** The group has no engine that the request may use. */
        NO_ENGINE,
        /** Prompt and maximum output exceed the memory of one engine. */
        TOO_LARGE
    }
}
