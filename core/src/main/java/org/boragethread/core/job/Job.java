package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;

/**
 * State of a job at one point of the log.
 *
 * @param id identifier
 * @param spec what the job is to do
 * @param body the submitted body
 * @param status where the job stands
 * @param stagesDone number of finished stages, which is the index of the next one
 * @param carry result of the last finished stage, the input of the next one
 * @param effect the effect that was begun in the next stage and has no recorded end
 * @param round number of times that an operator settled the job as not run
 * @param lease the last lease, while the job is running
 * @param notBeforeMillis log time before which the job is not taken
 * @param result the answer, or the problem document of a failed job
 * @param resultStatus HTTP status of the answer; 0 if there is none
 * @param detail why the job is held, failed or waits
 * @param acceptedMillis log time of acceptance
 * @param changedMillis log time of the last change
 */
public record Job(
        @JsonProperty("i") JobId id,
        @JsonProperty("s") JobSpec spec,
        @JsonProperty("b") Blob body,
        @JsonProperty("st") JobStatus status,
        @JsonProperty("n") int stagesDone,
        @JsonProperty("c") Optional<Blob> lastStageResult,
        @JsonProperty("e") Optional<EffectMark> effect,
        @JsonProperty("r") int round,
        @JsonProperty("l") Optional<Lease> lease,
        @JsonProperty("nb") long notBeforeMillis,
        @JsonProperty("rs") Optional<Blob> result,
        @JsonProperty("rc") int resultStatus,
        @JsonProperty("d") String detail,
        @JsonProperty("am") long acceptedMillis,
        @JsonProperty("cm") long changedMillis) {

    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(status, "status");
        lastStageResult = lastStageResult == null ? Optional.empty() : lastStageResult;
        effect = effect == null ? Optional.empty() : effect;
        lease = lease == null ? Optional.empty() : lease;
        result = result == null ? Optional.empty() : result;
        detail = detail == null ? "" : detail;
    }

    /** Returns the input of the next stage. */
    public Blob input() {
        return lastStageResult.orElse(body);
    }

    /** Tells whether an entry may take the job at a log time. */
    public boolean isAvailable(long millis) {
        if (status == JobStatus.WAITING) {
            return millis >= notBeforeMillis;
        }
        return status == JobStatus.RUNNING && millis >= availableFromMillis();
    }

    /** Returns the log time from which an unfinished job may be taken. */
    public long availableFromMillis() {
        return lease.map(Lease::untilMillis)
                .orElseGet(() -> Math.max(changedMillis, notBeforeMillis));
    }

    /** Tells whether a lease is the job's present one. */
    public boolean isLeasedUnder(long fence) {
        return status == JobStatus.RUNNING && lease.filter(l -> l.fence() == fence).isPresent();
    }

    /**
     * Returns the idempotency key under which a stage with an effect is claimed. It is the same for
     * all runs of the job until an operator settles the effect as not run.
     */
    public String effectKey(int stage) {
        return "job/%s/%d/%d".formatted(id, stage, round);
    }

    JobBuilder toBuilder(long millis) {
        return new JobBuilder(this).changedMillis(millis);
    }

    /**
     * A stage with an effect that was begun.
     *
     * @param stage index of the stage
     * @param timeMillis log time of the first beginning
     */
    public record EffectMark(@JsonProperty("s") int stage, @JsonProperty("t") long timeMillis) {}
}
