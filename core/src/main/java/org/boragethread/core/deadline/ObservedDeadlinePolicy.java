package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;

/**
 * Refuses a request once even an optimistic estimate of its remaining stages exceeds the time left,
 * and leaves later stages their usual time. One seemingly hopeless request a second and pipeline is
 * let through, so that an estimate made in a slow spell does not refuse everything after it.
 */
public final class ObservedDeadlinePolicy implements DeadlinePolicy {

    private static final double OPTIMISTIC = 0.1;
    private static final double TYPICAL = 0.5;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource mTime;
    private final StageTimes mTimes;
    private final DeadlinePolicy mWhole = new WholeDeadlinePolicy();
    private final Map<PipelineId, Long> mProbed = new HashMap<>();

    /** Makes a policy on observed times, which the caller keeps recording. */
    public ObservedDeadlinePolicy(TimeSource time, StageTimes times) {
        mTime = Objects.requireNonNull(time, "time");
        mTimes = Objects.requireNonNull(times, "times");
    }

    @Override
    public Optional<Refusal> check(Pipeline pipeline, int stage, Duration left) {
        Optional<Refusal> passed = mWhole.check(pipeline, stage, left);
        if (passed.isPresent()) {
            return passed;
        }
        Duration needed = mTimes.remainingTime(pipeline, stage, OPTIMISTIC);
        if (left.compareTo(needed) >= 0 || mayProbe(pipeline.id())) {
            return Optional.empty();
        }
        return Optional.of(
                Refusal.notRun(
                        RefusalReason.DEADLINE_HOPELESS,
                        "%d ms are left at stage %d of pipeline \"%s\", which needs at least %d ms"
                                .formatted(
                                        left.toMillis(), stage, pipeline.id(), needed.toMillis()),
                        retryAfter(needed)));
    }

    @Override
    public Duration stageTimeout(Pipeline pipeline, int stage, Duration left) {
        Duration later = mTimes.remainingTime(pipeline, stage + 1, TYPICAL);
        Optional<Duration> own = mTimes.quantile(pipeline.id(), stage, TYPICAL);
        Duration spare = left.minus(later);
        if (spare.compareTo(own.orElse(Duration.ZERO)) > 0) {
            return spare;
        }
        if (own.isEmpty()) {
            return left.dividedBy(pipeline.stages().size() - stage);
        }
        double part = own.get().toNanos() / (double) own.get().plus(later).toNanos();
        return Duration.ofNanos((long) (left.toNanos() * part));
    }

    private static Duration retryAfter(Duration needed) {
        return needed.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : needed;
    }

    private synchronized boolean mayProbe(PipelineId pipeline) {
        long now = mTime.nanoTime();
        Long probed = mProbed.get(pipeline);
        if (probed != null && now - probed < PROBE_INTERVAL.toNanos()) {
            return false;
        }
        mProbed.put(pipeline, now);
        return true;
    }
}
