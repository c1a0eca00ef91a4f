package org.boragethread.entry.gateway;

import java.util.Locale;
import org.boragethread.model.outcome.RefusalReason;

/** Who decided that a request ends without a whole response of an upstream, for logs. */
enum Decider {
    UPSTREAM,
    /** No upstream may be called. */
    SEARCH,
    CALLER,
    DEADLINE,
    STOP,
    LIMIT,
    CONFIGURATION,
    STAGES,
    QUARANTINE,
    /** The software version of a stream. */
    VERSION,
    INTERNAL;

    /** Returns who decides that a request is refused for a reason. */
    static Decider of(RefusalReason reason) {
        return switch (reason) {
            case UPSTREAM_BUSY, UPSTREAM_FAILED, UPSTREAM_UNREACHABLE, LEAVING, CONNECTION_LOST ->
                    UPSTREAM;
            case NO_UPSTREAM, CIRCUIT_OPEN -> SEARCH;
            case DEADLINE_EXCEEDED, DEADLINE_HOPELESS -> DEADLINE;
            case BAD_REQUEST, BODY_TIMEOUT, HEADER_TIMEOUT, CANCELLED -> CALLER;
            case BODY_TOO_LARGE, HEADER_TOO_LARGE, TEAM_RATE, TEAM_CONCURRENCY, QUEUE_FULL -> LIMIT;
            case STAGE_FAILED -> STAGES;
            case PROMPT_BLOCKED, REQUEST_BLOCKED -> QUARANTINE;
            case STREAM_VERSION_UNKNOWN, STREAM_VERSION_UNAVAILABLE -> VERSION;
            case INTERNAL -> INTERNAL;
            default -> CONFIGURATION;
        };
    }

    /** Returns who decides that a request is refused before it is fully read. */
    static Decider ofPartial(RefusalReason reason) {
        return reason == RefusalReason.NOT_READY ? STOP : of(reason);
    }

    /** Returns the name used in logs. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
