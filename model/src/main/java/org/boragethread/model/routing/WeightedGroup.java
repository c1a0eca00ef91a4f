package org.boragethread.model.routing;

import org.boragethread.model.upstream.GroupId;

/**
 * A group that receives a share of a route's requests.
 *
 * @param group the group
 * @param weight its share, relative to the other groups of the route
 */
public record WeightedGroup(GroupId group, double weight) {}
