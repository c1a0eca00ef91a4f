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
 * Deadline policy based on observed stage times. It refuses a request once even an optimistic
 * estimate of the remaining stages exceeds the time left, and it reserves the typical time of later
 * stages. Once per second, one request of each pipeline that seems infeasible is let through as a
 * probe, so that an estimate from a slow period does not cause every later request to be refused.
 */
public final class ObservedDeadlinePolicy implements DeadlinePolicy {

    private static final double OPTIMISTIC_QUANTILE = 0.1;
    private static final double TYPICAL_QUANTILE = 0.5;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource mTime;
    private final StageTimes mTimes;
    private final DeadlinePolicy mExpiryCheck = new WholeDeadlinePolicy();
    private final Map<PipelineId, Long> mLastProbes = new HashMap<>();

    /**
     * Creates a policy.
     *
     * @param times observed stage times, which the caller keeps recording
     */
    public ObservedDeadlinePolicy(TimeSource time, StageTimes times) {
        mTime = Objects.requireNonNull(time, "time");
        mTimes = Objects.requireNonNull(times, "times");
    }

    @Override
    public Optional<Refusal> check(Pipeline pipeline, int stage, Duration timeLeft) {
        Optional<Refusal> expired = mExpiryCheck.check(pipeline, stage, timeLeft);
        if (expired.isPresent()) {
            return expired;
        }
        Duration needed = mTimes.remainingTime(pipeline, stage, OPTIMISTIC_QUANTILE);
        if (timeLeft.compareTo(needed) >= 0 || tryProbe(pipeline.id())) {
            return Optional.empty();
        }
        return Optional.of(
                Refusal.notRun(
                        RefusalReason.DEADLINE_HOPELESS,
                        "%d ms are left at stage %d of pipeline \"%s\", which needs at least %d ms"
                                .formatted(
                                        timeLeft.toMillis(),
                                        stage,
                                        pipeline.id(),
                                        needed.toMillis()),
                        retryAfter(needed)));
    }

    @Override
    public Duration stageTimeout(Pipeline pipeline, int stage, Duration timeLeft) {
        Duration laterStages = mTimes.remainingTime(pipeline, stage + 1, TYPICAL_QUANTILE);
        Optional<Duration> thisStage = mTimes.quantile(pipeline.id(), stage, TYPICAL_QUANTILE);
        Duration spare = timeLeft.minus(laterStages);
        if (spare.compareTo(thisStage.orElse(Duration.ZERO)) > 0) {
            return spare;
        }
        if (thisStage.isEmpty()) {
            return timeLeft.dividedBy(pipeline.stages().size() - stage);
        }
        double fraction =
                thisStage.get().toNanos() / (double) thisStage.get().plus(laterStages).toNanos();
        return Duration.ofNanos((long) (timeLeft.toNanos() * fraction));
    }

    private static Duration retryAfter(Duration needed) {
        return needed.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : needed;
    }

    private synchronized boolean tryProbe(PipelineId pipeline) {
        long now = mTime.nanoTime();
        Long lastProbe = mLastProbes.get(pipeline);
        if (lastProbe != null && now - lastProbe < PROBE_INTERVAL.toNanos()) {
            return false;
        }
        mLastProbes.put(pipeline, now);
        return true;
    }
}
