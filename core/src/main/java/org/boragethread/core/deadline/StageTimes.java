package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;

/**
 * Observed time of each stage of each pipeline, from the entry's call to the whole answer, waiting
 * included. Safe for use by several threads.
 */
public final class StageTimes {

    /** Length of one window of observations. */
    public static final Duration WINDOW = Duration.ofSeconds(10);

    /** Number of observations below which a stage has no estimate. */
    public static final int MIN_SAMPLES = 10;

    private final TimeSource mTime;
    private final Map<StageKey, ServiceTimes> mStages = new ConcurrentHashMap<>();

    /** Makes a table without observations. */
    public StageTimes(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    /** Adds the time of a stage that was answered whole. */
    public void record(PipelineId pipeline, int stage, Duration duration) {
        times(pipeline, stage).record(duration);
    }

    /** Returns the time that a share of a stage's answers did not exceed, if enough are known. */
    public Optional<Duration> quantile(PipelineId pipeline, int stage, double share) {
        ServiceTimes times = mStages.get(new StageKey(pipeline, stage));
        return times == null ? Optional.empty() : times.quantile(share);
    }

    /**
     * Returns the sum of a quantile over the stages from one on. A stage without recent
     * observations counts as 0, so the sum is never too great for want of knowledge.
     */
    public Duration remainingTime(Pipeline pipeline, int fromStage, double share) {
        Duration sum = Duration.ZERO;
        for (int i = fromStage; i < pipeline.stages().size(); i++) {
            sum = sum.plus(quantile(pipeline.id(), i, share).orElse(Duration.ZERO));
        }
        return sum;
    }

    /** Forgets pipelines that are no longer configured. */
    public void retain(Collection<PipelineId> pipelines) {
        mStages.keySet().removeIf(key -> !pipelines.contains(key.pipeline()));
    }

    private ServiceTimes times(PipelineId pipeline, int stage) {
        return mStages.computeIfAbsent(
                new StageKey(pipeline, stage), key -> new ServiceTimes(mTime, WINDOW, MIN_SAMPLES));
    }

    private record StageKey(PipelineId pipeline, int stage) {}
}
