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
import org.boragethread.core.retry.NeverHedge;
import org.boragethread.core.retry.NeverRetry;
import org.boragethread.core.retry.RetryBudget;
import org.boragethread.core.retry.RetryDecision;
import org.boragethread.core.retry.RetryPolicy;
import org.boragethread.core.selection.UpstreamTimes;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * The policies that a request meets on its way, with what they have observed: times of stages,
 * groups and upstreams, and one budget of extra calls for each group. Safe for use by several
 * threads.
 */
public final class RunPolicies {

    private static final double USUAL_SHARE = 0.5;

    private final TimeSource mTime;
    private final DeadlinePolicy mDeadline;
    private final RetryPolicy mRetry;
    private final HedgePolicy mHedge;
    private final StageTimes mStageTimes;
    private final UpstreamTimes mUpstreamTimes;
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

    /** Refuses a request whose remaining stages cannot end in time. */
    Optional<Refusal> checkDeadline(Pipeline pipeline, int stage, Duration left) {
        return mDeadline.check(pipeline, stage, left);
    }

    /** Counts a first call to a group, which earns budget for extra calls. */
    void onFirstCall(Stage stage) {
        budget(stage).onFirstCall();
    }

    /** Decides what follows a failed attempt. */
    RetryDecision afterFailure(Stage stage, Refusal refusal, int attempts, Duration left) {
        Optional<Duration> usual = groupTimes(stage).quantile(USUAL_SHARE);
        FailedAttempt failed =
                new FailedAttempt(refusal, stage.idempotent(), attempts, left, usual);
        RetryDecision decision = mRetry.decide(failed, budget(stage));
        mEvents.onRetryDecision(decision);
        return decision;
    }

    /** Returns how long to wait before a slow attempt may be hedged, if it ever may. */
    Optional<Duration> hedgeDelay(Stage stage, Duration left) {
        return mHedge.delay(new HedgeRequest(stage.idempotent(), left, 0), groupTimes(stage));
    }

    /**
     * Decides whether a slow attempt is hedged now.
     *
     * @param utilisation running and waiting calls of the group as a share of its limits
     */
    boolean tryHedge(Stage stage, Duration left, double utilisation) {
        HedgeRequest request = new HedgeRequest(stage.idempotent(), left, utilisation);
        HedgeDecision decision = mHedge.decide(request, groupTimes(stage), budget(stage));
        mEvents.onHedgeDecision(decision);
        return decision == HedgeDecision.SENT;
    }

    /** Learns from a whole answer. */
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

    /** Makes policies; the defaults are the baselines. */
    public static final class Builder {
        private final TimeSource mTime;
        private DeadlinePolicy mDeadline = new WholeDeadlinePolicy();
        private RetryPolicy mRetry = new NeverRetry();
        private HedgePolicy mHedge = new NeverHedge();
        private StageTimes mStageTimes;
        private UpstreamTimes mUpstreamTimes;
        private DecisionEvents mEvents = DecisionEvents.NONE;

        /** Starts with the baselines. */
        public Builder(TimeSource time) {
            mTime = time;
            mStageTimes = new StageTimes(time);
            mUpstreamTimes = new UpstreamTimes(time);
        }

        /** Sets the deadline policy and the stage times that it looks at. */
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

        /** Sets the table of upstream times that selectors look at. */
        public Builder upstreamTimes(UpstreamTimes times) {
            mUpstreamTimes = times;
            return this;
        }

        /** Sets who hears of the decisions. */
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
