package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;

/**
 * State of a job at one offset of the job stream.
 *
 * @param id identifier
 * @param spec the job's immutable specification
 * @param body the submitted body
 * @param status current status
 * @param stagesDone number of completed stages, which is the index of the next stage
 * @param lastStageResult result of the last completed stage, which is the input of the next one
 * @param effect the started effect of the next stage, if its outcome is not recorded yet
 * @param round number of times that an operator settled the job as not run
 * @param lease the current or expired lease of a running job
 * @param notBeforeMillis log time before which no entry may acquire a lease
 * @param result the response, or the problem document of a failed job
 * @param resultStatus HTTP status of the response; 0 if there is none
 * @param detail why the job is held, failed, cancelled or waiting
 * @param acceptedMillis log time at which the job was accepted
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

    /** Tells whether an entry may acquire a lease of the job at a log time. */
    public boolean isAvailable(long millis) {
        if (status == JobStatus.WAITING) {
            return millis >= notBeforeMillis;
        }
        return status == JobStatus.RUNNING && millis >= availableFromMillis();
    }

    /** Returns the log time from which an entry may acquire a lease of an unfinished job. */
    public long availableFromMillis() {
        return lease.map(Lease::untilMillis)
                .orElseGet(() -> Math.max(changedMillis, notBeforeMillis));
    }

    /** Tells whether the job is running under the lease with a fencing number. */
    public boolean isLeasedUnder(long fence) {
        return status == JobStatus.RUNNING && lease.filter(l -> l.fence() == fence).isPresent();
    }

    /**
     * Returns the idempotency key of the claim for a stage with an effect. It stays the same in all
     * runs of the job until an operator settles the effect as not run.
     */
    public String effectKey(int stage) {
        return "job/%s/%d/%d".formatted(id, stage, round);
    }

    JobBuilder toBuilder(long millis) {
        return new JobBuilder(this).changedMillis(millis);
    }

    /**
     * A started stage with an effect.
     *
     * @param stage index of the stage
     * @param timeMillis log time at which the stage was first started
     */
    public record EffectMark(@JsonProperty("s") int stage, @JsonProperty("t") long timeMillis) {}
}
