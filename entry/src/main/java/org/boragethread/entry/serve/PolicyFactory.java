package org.boragethread.entry.serve;

import io.micrometer.core.instrument.MeterRegistry;
import org.boragethread.core.deadline.ObservedDeadlinePolicy;
import org.boragethread.core.deadline.StageTimes;
import org.boragethread.core.fairness.TeamAdmission;
import org.boragethread.core.fairness.TeamLimits;
import org.boragethread.core.fairness.UnlimitedTeamAdmission;
import org.boragethread.core.metrics.DecisionMetrics;
import org.boragethread.core.pipeline.RunPolicies;
import org.boragethread.core.retry.ImmediateRetryPolicy;
import org.boragethread.core.retry.NoRetryPolicy;
import org.boragethread.core.retry.RetryPolicy;
import org.boragethread.core.retry.SafeRetryPolicy;
import org.boragethread.core.retry.TailHedgePolicy;
import org.boragethread.core.selection.GroupKindSelector;
import org.boragethread.core.selection.LocalitySelector;
import org.boragethread.core.selection.PrefixAffinitySelector;
import org.boragethread.core.selection.RoundRobinSelector;
import org.boragethread.core.selection.Selector;
import org.boragethread.core.selection.UpstreamLatencies;
import org.boragethread.core.time.TimeSource;
import org.boragethread.entry.settings.PolicySettings;

/** Creates the policies selected by the settings. */
final class PolicyFactory {

    private final PolicySettings mSettings;
    private final TimeSource mTime;
    private final UpstreamLatencies mUpstreamLatencies;

    PolicyFactory(PolicySettings settings, TimeSource time) {
        mSettings = settings;
        mTime = time;
        mUpstreamLatencies = new UpstreamLatencies(time);
    }

    Selector selector() {
        if (mSettings.selection() == PolicySettings.Selection.ROUND_ROBIN) {
            return new RoundRobinSelector();
        }
        return new GroupKindSelector(
                new PrefixAffinitySelector(mUpstreamLatencies),
                new LocalitySelector(ThreadLocalRandomGenerator.INSTANCE, mUpstreamLatencies));
    }

    TeamAdmission teams() {
        return mSettings.teamLimits() ? new TeamLimits(mTime) : new UnlimitedTeamAdmission();
    }

    RunPolicies runPolicies(MeterRegistry registry) {
        RunPolicies.Builder builder =
                new RunPolicies.Builder(mTime)
                        .retry(retry())
                        .upstreamTimes(mUpstreamLatencies)
                        .events(new DecisionMetrics(registry));
        if (mSettings.hedge() == PolicySettings.Hedge.TAIL) {
            builder.hedge(new TailHedgePolicy());
        }
        if (mSettings.deadline() == PolicySettings.Deadline.OBSERVED) {
            StageTimes stageTimes = new StageTimes(mTime);
            builder.deadline(new ObservedDeadlinePolicy(mTime, stageTimes), stageTimes);
        }
        return builder.build();
    }

    private RetryPolicy retry() {
        return switch (mSettings.retry()) {
            case SAFE ->
                    new SafeRetryPolicy(
                            ThreadLocalRandomGenerator.INSTANCE, mSettings.maxAttempts());
            case AT_ONCE -> new ImmediateRetryPolicy(mSettings.maxAttempts());
            case NEVER -> new NoRetryPolicy();
        };
    }
}
