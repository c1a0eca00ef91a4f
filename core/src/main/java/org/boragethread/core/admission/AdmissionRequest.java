package org.boragethread.core.admission;

import java.util.Objects;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;

/**
 * A call that requests admission.
 *
 * @param team team that makes the call
 * @param weight weight of the team in fair queuing, relative to other teams with queued calls
 * @param priority priority among queued calls
 * @param deadlineNanos monotonic time by which the response must be complete, in nanoseconds
 */
public record AdmissionRequest(TeamId team, int weight, Priority priority, long deadlineNanos) {

    public AdmissionRequest {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(priority, "priority");
    }
}
