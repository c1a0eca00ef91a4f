package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;

/**
 * What was decided about an upstream that is silent, for logs.
 *
 * @param node the upstream
 * @param silence time since its last progress
 * @param timeout silence after which the decision was due
 * @param begun whether the response to the caller has begun
 * @param attemptsLeft further upstreams that the route allows
 * @param retriesLeft retries left in the budget before the decision
 * @param callable whether another upstream may be called now
 * @param remaining time until the deadline of the request
 * @param keptBecause why no second attempt starts; empty if one does
 */
record StallDecision(
        UpstreamNode node,
        Duration silence,
        Duration timeout,
        boolean begun,
        int attemptsLeft,
        long retriesLeft,
        boolean callable,
        Duration remaining,
        Optional<String> keptBecause) {}
