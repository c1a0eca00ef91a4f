package org.boragethread.core.placement;

/**
 * Receives the outcome of a request for a placement: one of the two, once, possibly during the call
 * of {@link PlacementCoordinator#place}. A withdrawn request has none.
 */
public interface PlacementListener {

    /** The request is to be sent to an engine now. */
    void onPlaced(Placement placement);

    /** The request is refused and was not sent to any engine. */
    void onRefused(PlacementRefusal refusal);
}
