package org.boragethread.core.pipeline;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.dispatch.UpstreamPicker;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/** Starts requests. */
public final class PipelineController {

    private final UpstreamPicker mPicker;
    private final RunPolicies mPolicies;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final Optional<ClaimService> mClaims;

    /** Runs requests without claims on the upstreams that the picker chooses. */
    public PipelineController(
            UpstreamPicker picker, RunPolicies policies, TimeSource time, Scheduler scheduler) {
        this(picker, policies, time, scheduler, Optional.empty());
    }

    /**
     * Runs requests on the upstreams that the picker chooses.
     *
     * @param claims gives the right to run stages with an effect for requests with a key
     */
    public PipelineController(
            UpstreamPicker picker,
            RunPolicies policies,
            TimeSource time,
            Scheduler scheduler,
            Optional<ClaimService> claims) {
        mPicker = Objects.requireNonNull(picker, "picker");
        mPolicies = Objects.requireNonNull(policies, "policies");
        mTime = Objects.requireNonNull(time, "time");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mClaims = Objects.requireNonNull(claims, "claims");
    }

    /**
     * Starts a request.
     *
     * @return a handle to withdraw it
     */
    public RunHandle start(PipelineRequest request, ResponseSink sink) {
        return start(request, sink, EffectKeys.CALLER);
    }

    RunHandle start(PipelineRequest request, ResponseSink sink, EffectKeys keys) {
        PipelineRun run = new PipelineRun(request, sink, this, keys);
        run.start();
        return run;
    }

    UpstreamPicker picker() {
        return mPicker;
    }

    RunPolicies policies() {
        return mPolicies;
    }

    TimeSource time() {
        return mTime;
    }

    Optional<ClaimService> claims() {
        return mClaims;
    }

    Scheduler scheduler() {
        return mScheduler;
    }
}
