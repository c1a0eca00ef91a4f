package org.boragethread.core.placement;

/** How a placed request failed at its engine. */
public enum PlacementFailure {
    /**
     * The engine refused it without running it, because of its own state or because of the request.
     */
    REFUSED,
    /** The engine responded with a failure, or did not respond in time. */
    FAILED,
    /** The engine could not be reached or broke the connection; it may have restarted. */
    BROKEN
}
