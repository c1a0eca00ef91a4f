package org.boragethread.core.pipeline;

/** Derives the key of the claim for a non-idempotent stage. */
interface ClaimKeyStrategy {

    /** For requests of callers: the stage index is added, so that each stage has its own claim. */
    ClaimKeyStrategy CALLER = (key, stage) -> "%d:%s".formatted(stage, key);

    /**
     * For jobs: their keys already contain the job, stage and round. A caller's key can never equal
     * one of them.
     */
    ClaimKeyStrategy JOB = (key, stage) -> key;

    /**
     * Returns the key of a claim.
     *
     * @param key idempotency key of the request
     * @param stage index of the stage, from 0
     */
    String claimKey(String key, int stage);
}
