package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.routing.RoutedGroup;

/**
 * What is known of a request that may be served.
 *
 * @param route its route
 * @param holder the team that holds its API key, if it needs one
 * @param deadlineNanos monotonic time of the earlier of the caller's deadline and the route's
 *     timeout
 * @param targetNanos monotonic time by which an answer has its full worth
 * @param isRouteTimeout whether the route's timeout is the earlier one
 * @param priority rank; 0 is the most urgent
 * @param pieces number of pieces of each stage
 * @param affinity hash of the prompt's shared beginning; 0 if there is none
 * @param sharedTokens length of the shared beginning in tokens
 * @param promptTokens length of the whole prompt in tokens
 */
record Admitted(
        Route route,
        Optional<KeyHolder> holder,
        long deadlineNanos,
        long targetNanos,
        boolean isRouteTimeout,
        int priority,
        int[] pieces,
        long affinity,
        long sharedTokens,
        long promptTokens) {

    /** Prompt tokens that an engine reads in a millisecond, as the users' pages state it. */
    private static final double TOKENS_PER_MILLI = 48;

    /** Delay that a megabyte between data centres is taken to be worth, in milliseconds. */
    private static final double TRANSFER_MILLIS_PER_MB = 50;

    /** Time of an engine's first token besides the reading of the prompt, in milliseconds. */
    private static final double FIRST_TOKEN_MILLIS = 200;

    String team() {
        return holder.map(KeyHolder::team).orElse("");
    }

    int pieceCount() {
        int count = 0;
        for (int number : pieces) {
            count += number;
        }
        return count;
    }

    /** Returns the time to read the shared beginning anew. */
    double affinityMillis() {
        return sharedTokens / TOKENS_PER_MILLI;
    }

    /** Returns the time that an engine needs to read the prompt, as far as it does not know it. */
    double promptMillis(UpstreamNode node) {
        boolean known = node.prompts().isPrefixCached(affinity);
        return (promptTokens - (known ? sharedTokens : 0)) / TOKENS_PER_MILLI;
    }

    /**
     * Returns the delay that the transfer of the results to another data centre is taken to cost:
     * bytes there are dear, a large result as much as a tenth of a target.
     */
    double transferMillis() {
        long bytes = 0;
        for (int i = 0; i < pieces.length; i++) {
            if (!RouteStage.isFollowed(route.stages(), pieces, i)) {
                bytes += pieces[i] * route.stages().get(i).resultBytes();
            }
        }
        return bytes * TRANSFER_MILLIS_PER_MB / 1e6;
    }

    /** Returns the usual time to the answer or its first event, up to a factor of the group. */
    double expectedNanos(RoutedGroup group) {
        if (group.engine().isEmpty()) {
            return 1;
        }
        double unread = Math.max(0, promptTokens - sharedTokens);
        return (FIRST_TOKEN_MILLIS + unread / TOKENS_PER_MILLI) * 1e6;
    }

    /** Returns the least time to the answer or its first event once the stages are done. */
    long leastAnswerNanos() {
        double unread = Math.max(0, promptTokens - sharedTokens);
        return (long) ((FIRST_TOKEN_MILLIS + unread / TOKENS_PER_MILLI) * 1e6);
    }

    /** Returns the expected time of the longest chain of stages. */
    Duration expectedStageTime(Gateway gateway) {
        Duration[] ends = new Duration[pieces.length];
        Duration longest = Duration.ZERO;
        for (int i = 0; i < pieces.length; i++) {
            RouteStage stage = route.stages().get(i);
            Duration start = Duration.ZERO;
            for (int needed : stage.after()) {
                if (needed < i && ends[needed].compareTo(start) > 0) {
                    start = ends[needed];
                }
            }
            ends[i] =
                    pieces[i] == 0
                            ? start
                            : start.plusNanos(
                                    gateway.stages()
                                            .queue(stage.group())
                                            .expectedTime(pieces[i], priority));
            longest = ends[i].compareTo(longest) > 0 ? ends[i] : longest;
        }
        return longest;
    }
}
