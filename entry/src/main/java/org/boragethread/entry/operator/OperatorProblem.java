package org.boragethread.entry.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Locale;
import org.boragethread.core.config.ConfigError;
import org.boragethread.model.outcome.RefusalReason;
import org.glassfish.grizzly.http.server.Response;

/**
 * Problem document of RFC 9457 for an operator.
 *
 * @param type URN of the reason
 * @param title the reason in words
 * @param status HTTP status
 * @param detail what happened
 * @param reason label of the reason
 * @param remedy what to do
 */
public record OperatorProblem(
        String type, String title, int status, String detail, String reason, String remedy) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static OperatorProblem of(ConfigError error) {
        String label = error.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return make(label, status(error.kind()), error.detail(), error.kind().remedy());
    }

    static OperatorProblem unauthorized() {
        return of(RefusalReason.UNAUTHORIZED, "the operator token is missing or wrong");
    }

    static OperatorProblem notFound() {
        return of(
                RefusalReason.NOT_FOUND,
                "known are POST /v1/intents, POST /v1/plans/confirm and GET /v1/status");
    }

    private static OperatorProblem of(RefusalReason reason, String detail) {
        return make(reason.label(), reason.status(), detail, reason.remedy());
    }

    private static OperatorProblem make(String label, int status, String detail, String remedy) {
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
