package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.RequestKind;
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
 * @param sharedParts IDs of the parts of the prompt that other requests may have too: all but the
 *     last
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
        long promptTokens,
        List<Long> sharedParts) {

    /** Cost of moving a megabyte between data centres, as a share of the target latency. */
    private static final double TRANSFER_SHARE_PER_MB = 0.033;

    String team() {
        return keyHolder.map(KeyHolder::team).orElse("");
    }

    boolean isStreaming() {
        return route.kind() == RequestKind.STREAMING;
    }

    int pieceCount() {
        int count = 0;
        for (int stagePieces : pieces) {
            count += stagePieces;
        }
        return count;
    }

    /** Returns the length of the part of the prompt that an upstream probably has not cached. */
    long uncachedTokens(UpstreamNode node) {
        boolean cached = node.prompts().isPrefixCached(affinity);
        return promptTokens - (cached ? prefixTokens : 0);
    }

    /** Counts the prompt as sent to an upstream that needs the given time to process it. */
    void countPrompt(UpstreamNode node, RoutedGroup group, double prefillMillis) {
        long cacheTokens = group.engine().map(EngineLimits::cacheTokens).orElse(0L);
        node.prompts().onPromptSent(affinity, prefixTokens, cacheTokens, prefillMillis);
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
        return bytes / 1e6 * TRANSFER_SHARE_PER_MB * route.targetLatency().toMillis();
    }

    /**
     * Returns the expected time from the end of all stages to the response or its first event, if
     * the shared prefix is cached.
     *
     * @param times response times of the group that serves the request
     */
    long expectedResponseNanos(ResponseTimeModel times) {
        return (long) (times.expectedMillis(promptTokens - prefixTokens) * 1e6);
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
