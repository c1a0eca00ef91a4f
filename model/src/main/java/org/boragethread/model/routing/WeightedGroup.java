package org.boragethread.model.routing;

import org.boragethread.model.upstream.GroupId;

/**
 * A group that receives a share of the requests of a route.
 *
 * @param group the group
 * @param weight share of the group relative to the other groups of the route
 */
public record WeightedGroup(GroupId group, double weight) {}
