package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RouteStage;

/**
 * A request whose stages are to be executed.
 *
 * @param requestId identifier of the request
 * @param stages stages of its route
 * @param pieces number of pieces of each stage; 0 skips a stage
 * @param key the caller's key of the work
 * @param deadlineNanos monotonic time by which all pieces must be complete
 * @param targetNanos monotonic time by which the request should be answered to have its full value
 * @param priority 0 is the most urgent
 * @param destination data centre in which the results will be used, if known
 * @param team team that the request belongs to; empty if it is not known
 * @param isContinuation whether work was done for the request before: its caller has a part of the
 *     stream, or its stages are run again
 */
public record StageRequest(
        String requestId,
        List<RouteStage> stages,
        int[] pieces,
        String key,
        long deadlineNanos,
        long targetNanos,
        int priority,
        Optional<DataCentreId> destination,
        String team,
        boolean isContinuation) {}
