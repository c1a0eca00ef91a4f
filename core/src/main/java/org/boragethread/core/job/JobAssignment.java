package org.boragethread.core.job;

/**
 * What one run of a job starts with.
 *
 * @param job state of the job when it was taken
 * @param fence fencing number of the lease
 * @param input input of the next stage, not copied
 */
public record JobAssignment(Job job, long fence, byte[] input) {

    /** Returns the index of the stage to run first. */
    public int firstStage() {
        return job.stagesDone();
    }

    /** Returns the idempotency key under which a stage with an effect is claimed. */
    public String effectKey(int stage) {
        return job.effectKey(stage);
    }
}
