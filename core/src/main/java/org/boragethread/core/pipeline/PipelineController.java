package org.boragethread.core.pipeline;

import java.util.Objects;
import org.boragethread.core.dispatch.UpstreamPicker;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/** Starts requests. */
public final class PipelineController {

    private final UpstreamPicker mPicker;
    private final RunPolicies mPolicies;
    private final TimeSource mTime;
    private final Scheduler mScheduler;

    /** Runs requests on the upstreams that the picker chooses. */
    public PipelineController(
            UpstreamPicker picker, RunPolicies policies, TimeSource time, Scheduler scheduler) {
        mPicker = Objects.requireNonNull(picker, "picker");
        mPolicies = Objects.requireNonNull(policies, "policies");
        mTime = Objects.requireNonNull(time, "time");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /**
     * Starts a request.
     *
     * @return a handle to withdraw it
     */
    public RunHandle start(PipelineRequest request, ResponseSink sink) {
        PipelineRun run = new PipelineRun(request, sink, this);
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

    Scheduler scheduler() {
        return mScheduler;
    }
}
