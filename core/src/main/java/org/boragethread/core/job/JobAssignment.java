package org.boragethread.core.job;

/**
 * A job that is assigned to a run, with its lease and input.
 *
 * @param job state of the job when its lease was acquired
 * @param fence fencing number of the lease
 * @param input input of the next stage, not copied
 */
public record JobAssignment(Job job, long fence, byte[] input) {

    /** Returns the index of the stage to run first. */
    public int firstStage() {
        return job.stagesDone();
    }

    /** Returns the idempotency key of the claim for a stage with an effect. */
    public String effectKey(int stage) {
        return job.effectKey(stage);
    }
}
