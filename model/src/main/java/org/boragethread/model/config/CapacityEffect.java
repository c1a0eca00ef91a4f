package org.boragethread.model.config;

import java.util.Objects;
import org.boragethread.model.upstream.GroupId;

/**
 * Number of a group's upstreams in service, before and after a plan.
 *
 * @param group the group
 * @param before upstreams in service when the plan was made
 * @param after upstreams left in service
 */
public record CapacityEffect(GroupId group, int before, int after) {

    public CapacityEffect {
        Objects.requireNonNull(group, "group");
    }
}
