package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.routing.RoutedGroup;

/**
 * An admitted request with what routing and scheduling need to know about it.
 *
 * @param route route that serves the request
 * @param keyHolder team that owns the API key; empty if the request carries no known key
 * @param deadlineNanos monotonic time of the caller's deadline or the route's timeout, whichever is
 *     earlier
 * @param targetNanos monotonic time at which the route's target latency is reached
 * @param isRouteTimeout whether the deadline is that of the route's timeout
 * @param priority scheduling priority; 0 is the most urgent
 * @param pieces number of pieces in each stage
 * @param affinity hash of the prompt prefix shared with other requests; 0 if there is none
 * @param prefixTokens length of the shared prefix in tokens
 * @param promptTokens length of the whole prompt in tokens
 */
record AdmittedRequest(
        Route route,
        Optional<KeyHolder> keyHolder,
        long deadlineNanos,
        long targetNanos,
        boolean isRouteTimeout,
        int priority,
        int[] pieces,
        long affinity,
        long prefixTokens,
        long promptTokens) {

    /** Prompt tokens that an engine prefills in a millisecond, as documented for users. */
    private static final double PREFILL_TOKENS_PER_MILLI = 48;

    /** Delay equivalent to the cost of moving a megabyte between data centres. */
    private static final double TRANSFER_MILLIS_PER_MB = 50;

    /** Time to the first token without prefill, in milliseconds. */
    private static final double FIRST_TOKEN_MILLIS = 200;

    String team() {
        return keyHolder.map(KeyHolder::team).orElse("");
    }

    int pieceCount() {
        int count = 0;
        for (int stagePieces : pieces) {
            count += stagePieces;
        }
        return count;
    }

    /** Returns the prefill time of the shared prefix on an engine that has not cached it. */
    double prefixPrefillMillis() {
        return prefixTokens / PREFILL_TOKENS_PER_MILLI;
    }

    /** Returns the prefill time of the part of the prompt that the engine has not cached. */
    double prefillMillis(UpstreamNode node) {
        boolean cached = node.prompts().isPrefixCached(affinity);
        return (promptTokens - (cached ? prefixTokens : 0)) / PREFILL_TOKENS_PER_MILLI;
    }

    /**
     * Returns the delay equivalent to the cost of transferring the results to another data centre.
     * Traffic between data centres is expensive: a large result counts for as much as a tenth of a
     * target latency.
     */
    double transferCostMillis() {
        long bytes = 0;
        for (int i = 0; i < pieces.length; i++) {
            if (!RouteStage.hasDependents(route.stages(), pieces, i)) {
                bytes += pieces[i] * route.stages().get(i).resultBytes();
            }
        }
        return bytes * TRANSFER_MILLIS_PER_MB / 1e6;
    }

    /**
     * Returns the expected time to the response or its first event, up to a factor of the group.
     */
    double expectedResponseNanos(RoutedGroup group) {
        if (group.engine().isEmpty()) {
            return 1;
        }
        double uncachedTokens = Math.max(0, promptTokens - prefixTokens);
        return (FIRST_TOKEN_MILLIS + uncachedTokens / PREFILL_TOKENS_PER_MILLI) * 1e6;
    }

    /** Returns the minimum time to the response or its first event once all stages are done. */
    long minResponseNanos() {
        double uncachedTokens = Math.max(0, promptTokens - prefixTokens);
        return (long) ((FIRST_TOKEN_MILLIS + uncachedTokens / PREFILL_TOKENS_PER_MILLI) * 1e6);
    }

    /** Returns the expected duration of the longest dependency chain of stages. */
    Duration expectedStageTime(Gateway gateway) {
        Duration[] ends = new Duration[pieces.length];
        Duration longest = Duration.ZERO;
        for (int i = 0; i < pieces.length; i++) {
            RouteStage stage = route.stages().get(i);
            Duration start = Duration.ZERO;
            for (int dependency : stage.after()) {
                if (dependency < i && ends[dependency].compareTo(start) > 0) {
                    start = ends[dependency];
                }
            }
            ends[i] =
                    pieces[i] == 0
                            ? start
                            : start.plusNanos(
                                    gateway.stageRouter()
                                            .queue(stage.group())
                                            .expectedTime(pieces[i], priority));
            longest = ends[i].compareTo(longest) > 0 ? ends[i] : longest;
        }
        return longest;
    }
}
