package org.boragethread.model.outcome;

import java.util.Locale;

/** Reason why a request or a call was refused or failed. Each reason has a counter of its own. */
public enum RefusalReason {
    /** The request specifies an unknown pipeline. */
    UNKNOWN_PIPELINE(404, "use a pipeline from GET /v1/status"),
    /** The request specifies an unknown team. */
    UNKNOWN_TEAM(403, "set the Team header to a configured team"),
    /** The request is malformed. */
    BAD_REQUEST(400, "correct the request as described in the detail"),
    /** The request body is larger than the entry accepts. */
    BODY_TOO_LARGE(413, "send a smaller body"),
    /** The request body did not arrive in time. */
    BODY_TIMEOUT(408, "send the whole body without pauses"),
    /** The process is starting, stopping or has no configuration yet. */
    NOT_READY(503, "send the request to another entry"),
    /** The team exceeds its request rate. */
    TEAM_RATE(429, "send fewer requests, or ask an operator for a higher rate"),
    /** The team exceeds its number of concurrent requests. */
    TEAM_CONCURRENCY(429, "wait for responses, or ask an operator for a higher limit"),
    /** The remaining time is less than the remaining stages need. */
    DEADLINE_HOPELESS(503, "allow more time, or retry when the load has decreased"),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504, "allow more time, or retry when the load has decreased"),
    /** The agent's queue is full. */
    QUEUE_FULL(503, "retry after the given time"),
    /** The upstream or its data centre is shutting down or out of service. */
    LEAVING(503, "retry; other upstreams accept the work"),
    /** No upstream of the group can be reached. */
    NO_UPSTREAM(503, "retry after the given time; operators: check the group's agents"),
    /** The agent could not connect to its upstream, so the call was never sent. */
    UPSTREAM_UNREACHABLE(503, "retry after the given time"),
    /** The upstream responded that it does not accept the call at present. */
    UPSTREAM_BUSY(503, "retry after the given time"),
    /** The upstream failed, or its response was truncated. */
    UPSTREAM_FAILED(502, "retry if the request is idempotent"),
    /** The connection between entry and agent was lost before the response was complete. */
    CONNECTION_LOST(502, "retry if the request is idempotent"),
    /** The upstream is not called because recent calls failed. */
    CIRCUIT_OPEN(503, "retry after the given time"),
    /** The caller disconnected. */
    CANCELLED(499, "send the request again if the response is still needed"),
    /** Another request with the same key is still running. */
    KEY_IN_PROGRESS(409, "retry later with the same key"),
    /** Another request with the same key had another body. */
    KEY_REUSED(422, "use a new key for a different request"),
    /** It is unknown whether the request with this key ran. */
    KEY_OUTCOME_UNKNOWN(
            409, "check manually whether the request took effect before sending it with a new key"),
    /** The platform's log cannot be reached, so claims and jobs cannot be recorded. */
    LOG_UNAVAILABLE(503, "retry after the given time"),
    /** The plan no longer matches the configuration. */
    PLAN_CONFLICT(409, "submit the intent again and confirm the new plan"),
    /** The caller is not authorized for this operation. */
    UNAUTHORIZED(401, "send the operator token in the Authorization header"),
    /** No route serves the host and path. */
    UNKNOWN_ROUTE(404, "use a host and path that operators have configured"),
    /** No team holds the API key. */
    UNKNOWN_KEY(401, "send an API key that a team holds"),
    /** The process cannot prove that its configuration is current. */
    CONFIGURATION_STALE(503, "retry, preferably at another entry"),
    /** A part of the prompt crashed several upstreams. */
    PROMPT_BLOCKED(
            503,
            "change the prompt, or retry after the given time; operators: see the part in the log"),
    /** The same request crashed several upstreams. */
    REQUEST_BLOCKED(
            503, "change the request, or retry after the given time; operators: see it in the log"),
    /** The caller continues a stream of which no software version is known. */
    STREAM_VERSION_UNKNOWN(
            503,
            "begin the stream again without a last event, unless the request named another attempt"
                    + " than the one that received the first event, or its content has changed"),
    /** The caller continues a stream, and no upstream runs the software version that began it. */
    STREAM_VERSION_UNAVAILABLE(503, "begin the stream again without a last event"),
    /** A stage that the request depends on failed. */
    STAGE_FAILED(503, "retry after the given time"),
    /** The head of the request is larger than the configuration allows. */
    HEADER_TOO_LARGE(431, "send fewer or shorter headers"),
    /** The head of the request did not arrive in time. */
    HEADER_TIMEOUT(408, "send the whole head without pauses"),
    /** No resource exists at this address. */
    NOT_FOUND(404, "check the address"),
    /** An internal error of this process. */
    INTERNAL(500, "report the request id to the operators");

    private final int mStatus;
    private final String mRemedy;

    RefusalReason(int status, String remedy) {
        mStatus = status;
        mRemedy = remedy;
    }

    /** Returns the HTTP status for callers. */
    public int status() {
        return mStatus;
    }

    /** Returns what the receiver of the refusal can do about it. */
    public String remedy() {
        return mRemedy;
    }

    /** Returns the name used in metrics, logs and problem documents, such as {@code queue-full}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
