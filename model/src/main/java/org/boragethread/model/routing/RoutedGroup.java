package org.boragethread.model.routing;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.upstream.GroupId;

/**
 * A group of interchangeable upstreams that routes and stages refer to.
 *
 * @param id name of the group
 * @param healthPath path of the health check, which returns status 200 while the upstream is
 *     healthy
 * @param maxConnections maximum number of connections that one upstream accepts from all clients
 *     together
 * @param coldTime time after its start during which an upstream has reduced capacity
 * @param coldRate requests per second that a cold upstream can serve in total; 0 if not limited
 * @param engine limits of language-model engines, if the upstreams are engines
 * @param batch limits of batch calls, if the upstreams run pieces of stages
 */
public record RoutedGroup(
        GroupId id,
        String healthPath,
        int maxConnections,
        Duration coldTime,
        double coldRate,
        Optional<EngineLimits> engine,
        Optional<BatchLimits> batch) {}
