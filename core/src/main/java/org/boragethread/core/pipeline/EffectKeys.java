package org.boragethread.core.pipeline;

/** Makes the key under which a stage with an effect is claimed. */
interface EffectKeys {

    /** Keys of callers: each stage of a request has a claim of its own. */
    EffectKeys CALLER = (key, stage) -> "%d:%s".formatted(stage, key);

    /** Keys of jobs, which name job, stage and round already. No caller's key is ever the same. */
    EffectKeys JOB = (key, stage) -> key;

    /**
     * Makes a key.
     *
     * @param key key of the request
     * @param stage index of the stage, from 0
     */
    String of(String key, int stage);
}
