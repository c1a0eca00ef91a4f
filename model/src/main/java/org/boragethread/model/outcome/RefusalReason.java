package org.boragethread.model.outcome;

import java.util.Locale;

/** Why a request or a call was not answered. Each reason has a counter of its own. */
public enum RefusalReason {
    /** The request names no known pipeline. */
    UNKNOWN_PIPELINE(404, "use a pipeline from GET /v1/status"),
    /** The request names no known team. */
    UNKNOWN_TEAM(403, "set the Team header to a configured team"),
    /** The request is malformed. */
    BAD_REQUEST(400, "correct the request as the detail says"),
    /** The request body is larger than the entry accepts. */
    BODY_TOO_LARGE(413, "send a smaller body"),
    /** The request body did not arrive in time. */
    BODY_TIMEOUT(408, "send the whole body without pauses"),
    /** The process is starting, stopping or has no configuration yet. */
    NOT_READY(503, "send the request to another entry"),
    /** The team sends more requests a second than it may. */
    TEAM_RATE(429, "send fewer requests, or ask an operator for a higher rate"),
    /** The team has more unanswered requests than it may. */
    TEAM_CONCURRENCY(429, "wait for answers, or ask an operator for a higher bound"),
    /** The remaining time is less than the remaining stages need. */
    DEADLINE_HOPELESS(503, "allow more time, or try again when load has fallen"),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504, "allow more time, or try again when load has fallen"),
    /** The agent's queue is full. */
    QUEUE_FULL(503, "try again after the stated time"),
    /** The upstream or its data centre is leaving. */
    LEAVING(503, "try again; other upstreams take the work"),
    /** No upstream of the group can be reached. */
    NO_UPSTREAM(503, "try again after the stated time; operators: check the group's agents"),
    /** The agent could not connect to its upstream, so the call was never sent. */
    UPSTREAM_UNREACHABLE(503, "try again after the stated time"),
    /** The upstream answered that it does not accept the call now. */
    UPSTREAM_BUSY(503, "try again after the stated time"),
    /** The upstream failed, or its answer was cut. */
    UPSTREAM_FAILED(502, "try again if the request is idempotent"),
    /** The connection between entry and agent broke before the answer was whole. */
    CONNECTION_LOST(502, "try again if the request is idempotent"),
    /** The upstream is not called because recent calls failed. */
    CIRCUIT_OPEN(503, "try again after the stated time"),
    /** The caller went away. */
    CANCELLED(499, "send the request again if its answer is still wanted"),
    /** Another request with the same key is still running. */
    KEY_IN_PROGRESS(409, "ask again later with the same key"),
    /** Another request with the same key had another body. */
    KEY_REUSED(422, "use a new key for another request"),
    /** It is not known whether the request with this key ran. */
    KEY_OUTCOME_UNKNOWN(409, "check the effect by hand before sending it with a new key"),
    /** The platform's log cannot be reached, so nothing can be claimed or kept. */
    LOG_UNAVAILABLE(503, "try again after the stated time"),
    /** The plan no longer matches the configuration. */
    PLAN_CONFLICT(409, "state the intent again and confirm the new plan"),
    /** The caller has not proved that it may do this. */
    UNAUTHORIZED(401, "send the operator token in the Authorization header"),
    /** No route serves the host and path. */
    UNKNOWN_ROUTE(404, "use a host and path that operators have configured"),
    /** No team holds the API key. */
    UNKNOWN_KEY(401, "send an API key that a team holds"),
    /** The process cannot prove that its configuration is current. */
    CONFIGURATION_STALE(503, "try again, preferably at another entry"),
    /** Work that the request needs first could not be done. */
    STAGE_FAILED(503, "try again after the stated time"),
    /** The head of the request is larger than the configuration allows. */
    HEADER_TOO_LARGE(431, "send fewer or shorter headers"),
    /** The head of the request did not arrive in time. */
    HEADER_TIMEOUT(408, "send the whole head without pauses"),
    /** Nothing exists under this address. */
    NOT_FOUND(404, "check the address"),
    /** A fault in this process. */
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

    /** Returns what the receiver can do about it. */
    public String remedy() {
        return mRemedy;
    }

    /** Returns the name used in metrics, logs and problem documents, such as {@code queue-full}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
