package org.boragethread.model.routing;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.upstream.GroupId;

/**
 * A group of interchangeable upstreams that routes and stages name.
 *
 * @param id name of the group
 * @param healthPath path that answers 200 while an upstream is healthy
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param coldTime time after its start during which an upstream bears little
 * @param coldRate requests a second that a cold upstream bears from all callers; 0 if not limited
 * @param engine limits of language-model engines
 * @param batch limits of upstreams that make pieces of stages
 */
public record RoutedGroup(
        GroupId id,
        String healthPath,
        int maxConnections,
        Duration coldTime,
        double coldRate,
        Optional<EngineLimits> engine,
        Optional<BatchLimits> batch) {}
