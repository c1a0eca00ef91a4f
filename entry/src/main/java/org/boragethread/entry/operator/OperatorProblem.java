package org.boragethread.entry.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Locale;
import org.boragethread.core.config.ConfigError;
import org.boragethread.model.outcome.RefusalReason;
import org.glassfish.grizzly.http.server.Response;

/**
 * Problem document (RFC 9457) for operators.
 *
 * @param type URN that identifies the reason
 * @param title human-readable reason
 * @param status HTTP status
 * @param detail what happened
 * @param reason label of the reason
 * @param remedy recommended action
 */
public record OperatorProblem(
        String type, String title, int status, String detail, String reason, String remedy) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static OperatorProblem of(ConfigError error) {
        String label = error.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return create(label, status(error.kind()), error.detail(), error.kind().remedy());
    }

    static OperatorProblem unauthorized() {
        return of(RefusalReason.UNAUTHORIZED, "missing or invalid operator token");
    }

    static OperatorProblem notFound() {
        return of(
                RefusalReason.NOT_FOUND,
                "supported are POST /v1/intents, POST /v1/plans/confirm and GET /v1/status");
    }

    private static OperatorProblem of(RefusalReason reason, String detail) {
        return create(reason.label(), reason.status(), detail, reason.remedy());
    }

    private static OperatorProblem create(String label, int status, String detail, String remedy) {
        return new OperatorProblem(
                "urn:boragethread:problem:" + label,
                label.replace('-', ' '),
                status,
                detail,
                label,
                remedy);
    }

    private static int status(ConfigError.Kind kind) {
        return switch (kind) {
            case MALFORMED, UNKNOWN_FIELD, INVALID, DIGEST -> 400;
            case CONFLICT, NEEDS_FORCE, PLAN_EXPIRED -> 409;
            case LOG_UNAVAILABLE, OVERLOADED -> 503;
            case OUTCOME_UNKNOWN -> 504;
            case HASH_MISMATCH, GAP -> 500;
        };
    }

    void write(Response response) throws IOException {
        byte[] json = MAPPER.writeValueAsBytes(this);
        response.setStatus(status);
        response.setContentType("application/problem+json");
        response.setContentLength(json.length);
        response.getOutputStream().write(json);
    }
}
