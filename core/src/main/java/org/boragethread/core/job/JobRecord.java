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

    /** Bytes of a blob; the payload. The fold does not look at it. */
    record Part(@JsonProperty("j") JobId job) implements JobRecord {}

    /**
     * Submits a job.
     *
     * @param job identifier made by the submitting entry
     * @param spec what the job is to do
     * @param body the submitted body; its parts come earlier in the stream
     * @param madeMillis log time when the record was made; it is void if it is appended much later
     */
    record Submitted(
            @JsonProperty("j") JobId job,
            @JsonProperty("s") JobSpec spec,
            @JsonProperty("b") Blob body,
            @JsonProperty("m") long createdMillis)
            implements JobRecord {}

    /**
     * States that a submission with a key is the first for its key. Only an entry that knows of all
     * holders of keys writes it; others may rely on it.
     */
    record Confirmed(@JsonProperty("j") JobId job) implements JobRecord {}

    /**
     * Takes a job that is free. Its offset is the lease's fencing number.
     *
     * @param entry the entry that will run the job
     * @param leaseMillis length of the lease from the record's log time
     */
    record LeaseAcquired(
            @JsonProperty("j") JobId job,
            @JsonProperty("e") EntryId entry,
            @JsonProperty("l") long leaseMillis)
            implements JobRecord {}

    /**
     * Prolongs a lease.
     *
     * @param fence fencing number of the lease
     * @param leaseMillis length of the lease from the record's log time
     */
    record LeaseRenewed(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("l") long leaseMillis)
            implements JobRecord {}

    /** States that a stage with an effect may be sent from now on. */
    record EffectStarted(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("s") int stage)
            implements JobRecord {}

    /**
     * States that a stage has its result.
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
     * @param status HTTP status of the answer
     * @param failed whether the result is a problem document
     * @param detail why the job failed
     * @param result the answer
     */
    record Finished(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("c") int status,
            @JsonProperty("x") boolean failed,
            @JsonProperty("d") String detail,
            @JsonProperty("r") Blob result)
            implements JobRecord {}

    /** States that nobody can tell whether a stage with an effect ran. */
    record Held(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("s") int stage,
            @JsonProperty("d") String detail)
            implements JobRecord {}

    /**
     * Gives a lease up so that the job runs again after a delay.
     *
     * @param delayMillis time until the job may be taken
     * @param effectNotRun whether it is certain that the begun effect did not run
     */
    record LeaseReleased(
            @JsonProperty("j") JobId job,
            @JsonProperty("f") long fence,
            @JsonProperty("w") long delayMillis,
            @JsonProperty("x") boolean effectNotRun,
            @JsonProperty("d") String detail)
            implements JobRecord {}

    /** Ends an unfinished job. */
    record Cancelled(@JsonProperty("j") JobId job) implements JobRecord {}

    /**
     * Settles a held job.
     *
     * @param round the job's round; the record is void in any other
     */
    record Settled(
            @JsonProperty("j") JobId job,
            @JsonProperty("n") int round,
            @JsonProperty("x") JobDecision decision)
            implements JobRecord {}

    /**
     * Repeats an unfinished job's state, because its older records will expire.
     *
     * @param asOfOffset offset of the last record that the writer had read; the record is void if a
     *     later one was about the job
     * @param asOfMillis log time of that record
     * @param state the job's state, with blobs that were appended anew
     */
    record Checkpoint(
            @JsonProperty("j") JobId job,
            @JsonProperty("a") long asOfOffset,
            @JsonProperty("m") long asOfMillis,
            @JsonProperty("s") Job state)
            implements JobRecord {}
}
