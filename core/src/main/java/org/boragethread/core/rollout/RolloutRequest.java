package org.boragethread.core.rollout;

import java.time.Duration;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * What an operator asks for: to move the traffic of a group to a version.
 *
 * @param group group of the service
 * @param target version to move the traffic to
 * @param period time in which the roll-out is to end
 */
public record RolloutRequest(GroupId group, SoftwareVersion target, Duration period) {

    public RolloutRequest {
        if (period.isNegative() || period.isZero()) {
            throw new IllegalArgumentException(
                    "period of roll-out of %s is %s: use a positive number of seconds"
                            .formatted(group, period));
        }
    }
}
