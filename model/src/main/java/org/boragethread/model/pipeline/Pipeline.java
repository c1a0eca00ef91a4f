package org.boragethread.model.pipeline;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * An ordered list of stages; each stage receives the result of the previous one.
 *
 * @param id name of the pipeline
 * @param stages stages in order, at least one
 * @param deadline time allowed for a request without a deadline of its own
 * @param goal service-level objective: share of requests that should meet their deadline, from 0 to
 *     1
 */
public record Pipeline(PipelineId id, List<Stage> stages, Duration deadline, double goal) {

    public Pipeline {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(deadline, "deadline");
        stages = List.copyOf(stages);
        if (stages.isEmpty()) {
            throw new IllegalArgumentException(
                    "pipeline \"%s\" has no stages: specify at least one".formatted(id));
        }
        if (deadline.isZero() || deadline.isNegative()) {
            throw new IllegalArgumentException(
                    "pipeline \"%s\": deadline must be positive".formatted(id));
        }
        if (!(goal >= 0 && goal <= 1)) {
            throw new IllegalArgumentException(
                    "pipeline \"%s\": goal must be from 0 to 1".formatted(id));
        }
    }

    /** Returns whether every stage may run more than once for one request. */
    public boolean isIdempotent() {
        return stages.stream().allMatch(Stage::idempotent);
    }
}
