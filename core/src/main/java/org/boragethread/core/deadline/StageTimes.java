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
 * Observed times of the stages of each pipeline, measured from the call by the entry to the
 * complete response, including queue time. Thread-safe.
 */
public final class StageTimes {

    /** Length of a window of observations. */
    public static final Duration WINDOW = Duration.ofSeconds(10);

    /** Minimum number of observations for an estimate. */
    public static final int MIN_SAMPLES = 10;

    private final TimeSource mTime;
    private final Map<StageKey, ServiceTimes> mStages = new ConcurrentHashMap<>();

    /** Creates a table without observations. */
    public StageTimes(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    /** Records the time of a stage that completed with a full response. */
    public void record(PipelineId pipeline, int stage, Duration duration) {
        times(pipeline, stage).record(duration);
    }

    /**
     * Returns the time that the given fraction of a stage's responses did not exceed, or empty if
     * there are too few observations.
     */
    public Optional<Duration> quantile(PipelineId pipeline, int stage, double fraction) {
        ServiceTimes times = mStages.get(new StageKey(pipeline, stage));
        return times == null ? Optional.empty() : times.quantile(fraction);
    }

    /**
     * Returns the sum of a quantile over the given stage and all later ones. A stage without recent
     * observations counts as 0, so missing data never makes the sum too large.
     */
    public Duration remainingTime(Pipeline pipeline, int fromStage, double fraction) {
        Duration sum = Duration.ZERO;
        for (int i = fromStage; i < pipeline.stages().size(); i++) {
            sum = sum.plus(quantile(pipeline.id(), i, fraction).orElse(Duration.ZERO));
        }
        return sum;
    }

    /** Discards the observations of pipelines that are no longer configured. */
    public void retain(Collection<PipelineId> pipelines) {
        mStages.keySet().removeIf(key -> !pipelines.contains(key.pipeline()));
    }

    private ServiceTimes times(PipelineId pipeline, int stage) {
        return mStages.computeIfAbsent(
                new StageKey(pipeline, stage), key -> new ServiceTimes(mTime, WINDOW, MIN_SAMPLES));
    }

    private record StageKey(PipelineId pipeline, int stage) {}
}
