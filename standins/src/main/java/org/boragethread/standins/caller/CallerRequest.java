package org.boragethread.standins.caller;

import java.util.Optional;

/**
 * A request to a pipeline.
 *
 * @param pipeline name of the pipeline
 * @param team team that asks
 * @param body body, sent as plain bytes
 * @param deadlineMs time allowed, in milliseconds
 * @param streaming whether the answer is wanted as server-sent events
 * @param key idempotency key
 */
public record CallerRequest(
        String pipeline,
        String team,
        byte[] body,
        long deadlineMs,
        boolean streaming,
        Optional<String> key) {

    /** Returns a request without a key that wants its answer as a whole. */
    public static CallerRequest of(String pipeline, String team, byte[] body, long deadlineMs) {
        return new CallerRequest(pipeline, team, body, deadlineMs, false, Optional.empty());
    }

    /** Returns this request with its answer wanted as server-sent events. */
    public CallerRequest asStream() {
        return new CallerRequest(pipeline, team, body, deadlineMs, true, key);
    }

    /** Returns this request with an idempotency key. */
    public CallerRequest withKey(String value) {
        return new CallerRequest(pipeline, team, body, deadlineMs, streaming, Optional.of(value));
    }
}
