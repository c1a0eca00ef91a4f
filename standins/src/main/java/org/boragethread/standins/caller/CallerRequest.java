package org.boragethread.standins.caller;

import java.util.Optional;

/**
 * A request to a pipeline.
 *
 * @param pipeline name of the pipeline
 * @param team team that the request belongs to
 * @param body content of the body
 * @param deadlineMs time until the deadline, in milliseconds
 * @param streaming whether the response is requested as server-sent events
 * @param key idempotency key, if any
 */
public record CallerRequest(
        String pipeline,
        String team,
        byte[] body,
        long deadlineMs,
        boolean streaming,
        Optional<String> key) {

    /** Returns a request without an idempotency key whose response is not streamed. */
    public static CallerRequest of(String pipeline, String team, byte[] body, long deadlineMs) {
        return new CallerRequest(pipeline, team, body, deadlineMs, false, Optional.empty());
    }

    /** Returns this request with a response as server-sent events. */
    public CallerRequest asStream() {
        return new CallerRequest(pipeline, team, body, deadlineMs, true, key);
    }

    /** Returns this request with an idempotency key. */
    public CallerRequest withKey(String value) {
        return new CallerRequest(pipeline, team, body, deadlineMs, streaming, Optional.of(value));
    }
}
