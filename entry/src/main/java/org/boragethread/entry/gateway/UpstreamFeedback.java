package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.RoutedGroup;

/** Learns from the attempts of a request how the upstreams of its group respond. */
final class UpstreamFeedback {

    /** Time for which an upstream is avoided after another process responded at its address. */
    private static final Duration MISDIRECTED_AVOIDANCE = Duration.ofSeconds(5);

    private static final Duration BUSY_TIME = Duration.ofMillis(150);
    private static final int MISDIRECTED = 421;

    private final Gateway mGateway;
    private final RoutedGroup mGroup;

    UpstreamFeedback(Gateway gateway, RoutedGroup group) {
        mGateway = gateway;
        mGroup = group;
    }

    /** Returns the response times of the group. */
    ResponseTimeModel responseTimes() {
        return mGateway.responseTimes(mGroup.id());
    }

    /** Records that an upstream did not execute an attempt. */
    void onRejected(UpstreamNode node, int status) {
        long now = mGateway.time().nanoTime();
        if (status == MISDIRECTED) {
            node.avoidUntil(now + MISDIRECTED_AVOIDANCE.toNanos());
        } else {
            node.setBusyUntil(now + BUSY_TIME.toNanos());
        }
    }

    void onFailure(UpstreamNode node) {
        node.onFailure(mGateway.time().nanoTime(), mGroup.coldRate() > 0, mGroup.coldTime());
    }

    /** Records that no connection to an upstream could be established. */
    void onNotSent(UpstreamNode node, UnsentAttempt unsent) {
        if (!unsent.refused()) {
            onFailure(node);
            return;
        }
        Duration coldTime = mGroup.coldRate() > 0 ? mGroup.coldTime() : Duration.ZERO;
        mGateway.upstreamSignals().onConnectionRefused(node, unsent.startedAt(), coldTime);
    }

    /**
     * Records the time until a response or its first event.
     *
     * @param sentAt monotonic time at which the attempt was sent
     * @param uncachedTokens length of the part of the prompt that the upstream had to process
     */
    void onResponse(UpstreamNode node, long sentAt, long uncachedTokens) {
        Duration time = mGateway.time().since(sentAt);
        mGateway.metrics().onAttempt(mGroup.id().value(), time);
        double millis = time.toNanos() / 1e6;
        node.onSuccess(responseTimes().addAndCompare(uncachedTokens, millis));
    }
}
