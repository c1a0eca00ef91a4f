package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Pipeline;

/**
 * Baseline for comparison: each stage may use all the time left, and only requests whose deadline
 * has passed are refused.
 */
public final class WholeDeadlinePolicy implements DeadlinePolicy {

    @Override
    public Optional<Refusal> check(Pipeline pipeline, int stage, Duration timeLeft) {
        if (timeLeft.compareTo(Duration.ZERO) > 0) {
            return Optional.empty();
        }
        return Optional.of(
                Refusal.notRun(
                        RefusalReason.DEADLINE_EXCEEDED,
                        "the deadline passed before stage %d of pipeline \"%s\""
                                .formatted(stage, pipeline.id())));
    }

    @Override
    public Duration stageTimeout(Pipeline pipeline, int stage, Duration timeLeft) {
        return timeLeft;
    }
}
