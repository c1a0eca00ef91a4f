package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.place.EntryId;

/** A record of the job stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = JobRecord.Part.class, name = "p"),
    @JsonSubTypes.Type(value = JobRecord.Submitted.class, name = "a"),
    @JsonSubTypes.Type(value = JobRecord.Confirmed.class, name = "y"),
    @JsonSubTypes.Type(value = JobRecord.LeaseAcquired.class, name = "t"),
    @JsonSubTypes.Type(value = JobRecord.LeaseRenewed.class, name = "r"),
    @JsonSubTypes.Type(value = JobRecord.EffectStarted.class, name = "e"),
    @JsonSubTypes.Type(value = JobRecord.StageDone.class, name = "s"),
    @JsonSubTypes.Type(value = JobRecord.Finished.class, name = "f"),
    @JsonSubTypes.Type(value = JobRecord.Held.class, name = "h"),
    @JsonSubTypes.Type(value = JobRecord.LeaseReleased.class, name = "b"),
    @JsonSubTypes.Type(value = JobRecord.Cancelled.class, name = "c"),
    @JsonSubTypes.Type(value = JobRecord.Settled.class, name = "o"),
    @JsonSubTypes.Type(value = JobRecord.Checkpoint.class, name = "k")
})
public sealed interface JobRecord {

    /** Returns the job that the record is about. */
    JobId job();

    /** Carries a part of a blob as its payload. The state machine ignores it. */
    record Part(@JsonProperty("j") JobId job) implements JobRecord {}

    /**
     * Submits a job.
     *
     * @param job identifier chosen by the submitting entry
     * @param spec the job's specification
     * @param body the submitted body; its parts precede this record in the stream
     * @param createdMillis estimated log time at which the record was created; the record is
     *     ignored if it is appended much later
     */
    record Submitted(
            @JsonProperty("j") JobId job,
            @JsonProperty("s") JobSpec spec,
            @JsonProperty("b") Blob body,
            @JsonProperty("m") long createdMillis)
            implements JobRecord {}

    /**
     * Confirms that a submission is the first with its key. It is written only by an entry that
     * knows all holders of keys, so that other entries can rely on it.
     */
    record Confirmed(@JsonProperty("j") JobId job) implements JobRecord {}

    /**
     * Acquires a lease of an available job. The record's offset is the fencing number of the lease.
     *
     * @param entry the entry that will run the job
     * @param leaseMillis duration of the lease, counted from the record's log time
     */
    record LeaseAcquired(
            @JsonProperty("j") JobId job,
            @JsonProperty("e") EntryId entry,
            @JsonProperty("l") long leaseMillis)
            implements JobRecord {}

    /**
     * Renews a lease.
     *
     * @param fence fencing number of the lease
     * @param leaseMillis duration of the lease, counted from the record's log time
     */
    record LeaseRenewed(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("l") long leaseMillis)
            implements JobRecord {}

    /** Precedes the sending of a stage with an effect. */
    record EffectStarted(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("s") int stage)
            implements JobRecord {}

    /**
     * Records the result of a stage.
     *
     * @param stage index of the stage, which must be the job's next one
     * @param result the stage's result
     */
    record StageDone(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("s") int stage,
            @JsonProperty("r") Blob result)
            implements JobRecord {}

    /**
     * Ends a job.
     *
     * @param status HTTP status of the response
     * @param failed whether the result is a problem document
     * @param detail why the job failed
     * @param result the response or problem document
     */
    record Finished(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("c") int status,
            @JsonProperty("x") boolean failed,
            @JsonProperty("d") String detail,
            @JsonProperty("r") Blob result)
            implements JobRecord {}

    /** Holds a job because it is unknown whether a stage with an effect ran. */
    record Held(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("s") int stage,
            @JsonProperty("d") String detail)
            implements JobRecord {}

    /**
     * Releases a lease so that the job runs again after a delay.
     *
     * @param delayMillis time until the job is available again
     * @param effectNotRun whether the started effect certainly did not run
     */
    record LeaseReleased(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("w") long delayMillis,
            @JsonProperty("x") boolean effectNotRun,
            @JsonProperty("d") String detail)
            implements JobRecord {}

    /** Cancels an unfinished job. */
    record Cancelled(@JsonProperty("j") JobId job) implements JobRecord {}

    /**
     * Settles a held job.
     *
     * @param round the round that is settled; the record is ignored if the job is in another one
     */
    record Settled(
            @JsonProperty("j") JobId job,
            @JsonProperty("n") int round,
            @JsonProperty("x") JobDecision decision)
            implements JobRecord {}

    /**
     * Restates an unfinished job, because its older records will expire.
     *
     * @param asOfOffset offset of the last record that the writer had read; the checkpoint is
     *     ignored if a later record concerns the job
     * @param asOfMillis log time of that record
     * @param state the job's state, which refers to new copies of its blobs
     */
    record Checkpoint(
            @JsonProperty("j") JobId job,
            @JsonProperty("a") long asOfOffset,
            @JsonProperty("m") long asOfMillis,
            @JsonProperty("s") Job state)
            implements JobRecord {}
}
