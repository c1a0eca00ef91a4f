package org.boragethread.core.admission;

import java.util.Objects;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;

/**
 * A call that asks for admission.
 *
 * @param team team that shares the upstream
 * @param weight the team's share relative to other waiting teams
 * @param priority order among waiting calls
 * @param deadlineNanos monotonic time by which the answer must be whole, in nanoseconds
 */
public record AdmissionRequest(TeamId team, int weight, Priority priority, long deadlineNanos) {

    public AdmissionRequest {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(priority, "priority");
    }
}
