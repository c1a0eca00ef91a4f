package org.boragethread.model.config;

import java.util.Objects;
import org.boragethread.model.upstream.GroupId;

/**
 * Number of a group's upstreams in service, before and after a plan.
 *
 * @param group the group
 * @param before upstreams in service before the plan
 * @param after upstreams in service after the plan
 */
public record CapacityEffect(GroupId group, int before, int after) {

    public CapacityEffect {
        Objects.requireNonNull(group, "group");
    }
}
