package org.boragethread.core.pipeline;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.dispatch.UpstreamPicker;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/** Entry point for running requests through their pipelines. */
public final class PipelineController {

    private final UpstreamPicker mPicker;
    private final RunPolicies mPolicies;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final Optional<ClaimService> mClaims;

    /** Creates a controller that runs non-idempotent stages without claims. */
    public PipelineController(
            UpstreamPicker picker, RunPolicies policies, TimeSource time, Scheduler scheduler) {
        this(picker, policies, time, scheduler, Optional.empty());
    }

    /**
     * Creates a controller.
     *
     * @param picker chooses the upstream of each attempt
     * @param claims service that grants the right to run the non-idempotent stages of requests with
     *     an idempotency key
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
     * @return a handle to cancel the request
     */
    public RunHandle start(PipelineRequest request, ResponseSink sink) {
        return start(request, sink, ClaimKeyStrategy.CALLER);
    }

    RunHandle start(PipelineRequest request, ResponseSink sink, ClaimKeyStrategy claimKeys) {
        PipelineRun run = new PipelineRun(request, sink, this, claimKeys);
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
