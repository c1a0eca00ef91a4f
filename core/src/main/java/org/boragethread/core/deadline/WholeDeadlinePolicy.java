package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Pipeline;

/** Baseline: each stage may use all the time left, and only a passed deadline is refused. */
public final class WholeDeadlinePolicy implements DeadlinePolicy {

    @Override
    public Optional<Refusal> check(Pipeline pipeline, int stage, Duration left) {
        if (left.compareTo(Duration.ZERO) > 0) {
            return Optional.empty();
        }
        return Optional.of(
                Refusal.notRun(
                        RefusalReason.DEADLINE_EXCEEDED,
                        "the deadline passed before stage %d of pipeline \"%s\""
                                .formatted(stage, pipeline.id())));
    }

    @Override
    public Duration stageTimeout(Pipeline pipeline, int stage, Duration left) {
        return left;
    }
}
