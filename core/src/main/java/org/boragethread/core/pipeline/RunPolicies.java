package org.boragethread.core.pipeline;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.boragethread.core.deadline.DeadlinePolicy;
import org.boragethread.core.deadline.ServiceTimes;
import org.boragethread.core.deadline.StageTimes;
import org.boragethread.core.deadline.WholeDeadlinePolicy;
import org.boragethread.core.metrics.DecisionEvents;
import org.boragethread.core.retry.FailedAttempt;
import org.boragethread.core.retry.HedgeDecision;
import org.boragethread.core.retry.HedgePolicy;
import org.boragethread.core.retry.HedgeRequest;
import org.boragethread.core.retry.NoHedgePolicy;
import org.boragethread.core.retry.NoRetryPolicy;
import org.boragethread.core.retry.RetryBudget;
import org.boragethread.core.retry.RetryDecision;
import org.boragethread.core.retry.RetryPolicy;
import org.boragethread.core.selection.UpstreamLatencies;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * The deadline, retry and hedging policies for requests, with the measurements that they use: times
 * of stages, groups and upstreams, and a budget of extra calls for each group. Thread-safe.
 */
public final class RunPolicies {

    private static final double MEDIAN = 0.5;

    private final TimeSource mTime;
    private final DeadlinePolicy mDeadline;
    private final RetryPolicy mRetry;
    private final HedgePolicy mHedge;
    private final StageTimes mStageTimes;
    private final UpstreamLatencies mUpstreamTimes;
    private final DecisionEvents mEvents;
    private final Map<GroupId, RetryBudget> mBudgets = new ConcurrentHashMap<>();
    private final Map<GroupId, ServiceTimes> mGroupTimes = new ConcurrentHashMap<>();

    private RunPolicies(Builder builder) {
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mDeadline = builder.mDeadline;
        mRetry = builder.mRetry;
        mHedge = builder.mHedge;
        mStageTimes = builder.mStageTimes;
        mUpstreamTimes = builder.mUpstreamTimes;
        mEvents = builder.mEvents;
    }

    /** Returns a refusal if the remaining stages of a request cannot end before its deadline. */
    Optional<Refusal> checkDeadline(Pipeline pipeline, int stage, Duration remaining) {
        return mDeadline.check(pipeline, stage, remaining);
    }

    /** Counts a first call to a group, which adds to the group's budget of extra calls. */
    void onFirstCall(Stage stage) {
        budget(stage).recordFirstCall();
    }

    /** Decides whether a failed attempt is retried. */
    RetryDecision afterFailure(Stage stage, Refusal refusal, int attempts, Duration remaining) {
        Optional<Duration> medianTime = groupTimes(stage).quantile(MEDIAN);
        FailedAttempt failed =
                new FailedAttempt(refusal, stage.idempotent(), attempts, remaining, medianTime);
        RetryDecision decision = mRetry.decide(failed, budget(stage));
        mEvents.onRetryDecision(decision);
        return decision;
    }

    /**
     * Returns the delay after which a slow attempt may be hedged; empty if hedging is ruled out.
     */
    Optional<Duration> hedgeDelay(Stage stage, Duration remaining) {
        return mHedge.delay(new HedgeRequest(stage.idempotent(), remaining, 0), groupTimes(stage));
    }

    /**
     * Decides whether to hedge a slow attempt now.
     *
     * @param utilisation running and queued calls of the group, as a fraction of its limits
     */
    boolean tryHedge(Stage stage, Duration remaining, double utilisation) {
        HedgeRequest request = new HedgeRequest(stage.idempotent(), remaining, utilisation);
        HedgeDecision decision = mHedge.decide(request, groupTimes(stage), budget(stage));
        mEvents.onHedgeDecision(decision);
        return decision == HedgeDecision.SENT;
    }

    /** Records the latency of a complete response. */
    void onResult(Pipeline pipeline, int stage, UpstreamId upstream, Duration latency) {
        mStageTimes.record(pipeline.id(), stage, latency);
        mUpstreamTimes.record(upstream, latency);
        groupTimes(pipeline.stages().get(stage)).record(latency);
    }

    private RetryBudget budget(Stage stage) {
        return mBudgets.computeIfAbsent(stage.group(), group -> new RetryBudget(mTime));
    }

    private ServiceTimes groupTimes(Stage stage) {
        return mGroupTimes.computeIfAbsent(
                stage.group(),
                group -> new ServiceTimes(mTime, StageTimes.WINDOW, StageTimes.MIN_SAMPLES));
    }

    /** Builder of policies. By default only deadlines that have passed are enforced. */
    public static final class Builder {
        private final TimeSource mTime;
        private DeadlinePolicy mDeadline = new WholeDeadlinePolicy();
        private RetryPolicy mRetry = new NoRetryPolicy();
        private HedgePolicy mHedge = new NoHedgePolicy();
        private StageTimes mStageTimes;
        private UpstreamLatencies mUpstreamTimes;
        private DecisionEvents mEvents = DecisionEvents.NONE;

        /** Creates a builder with the default policies: no retries and no hedging. */
        public Builder(TimeSource time) {
            mTime = time;
            mStageTimes = new StageTimes(time);
            mUpstreamTimes = new UpstreamLatencies(time);
        }

        /** Sets the deadline policy and the stage times that it uses. */
        public Builder deadline(DeadlinePolicy policy, StageTimes times) {
            mDeadline = policy;
            mStageTimes = times;
            return this;
        }

        /** Sets the retry policy. */
        public Builder retry(RetryPolicy policy) {
            mRetry = policy;
            return this;
        }

        /** Sets the hedge policy. */
        public Builder hedge(HedgePolicy policy) {
            mHedge = policy;
            return this;
        }

        /** Sets the upstream times that selectors use. */
        public Builder upstreamTimes(UpstreamLatencies times) {
            mUpstreamTimes = times;
            return this;
        }

        /** Sets the listener for the decisions. */
        public Builder events(DecisionEvents events) {
            mEvents = events;
            return this;
        }

        /** Returns the policies. */
        public RunPolicies build() {
            return new RunPolicies(this);
        }
    }
}
