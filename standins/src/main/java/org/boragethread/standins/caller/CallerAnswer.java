package org.boragethread.standins.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.boragethread.standins.http.Json;

/**
 * The answer to a request.
 *
 * @param status HTTP status
 * @param requestId value of {@code Request-Id}, or empty
 * @param contentType value of {@code Content-Type}, or empty
 * @param body bytes of the answer
 */
public record CallerAnswer(int status, String requestId, String contentType, byte[] body) {

    private static final String PROBLEM = "application/problem+json";

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Tells whether this is a problem document with all that callers rely on. */
    public boolean isProblem() {
        if (!contentType.startsWith(PROBLEM)) {
            return false;
        }
        JsonNode problem = Json.tree(body);
        return problem.path("status").asInt() == status
                && !problem.path("reason").asText().isEmpty()
                && !problem.path("remedy").asText().isEmpty()
                && problem.path("ran").asText().matches("no|unknown|yes");
    }

    /** Returns a member of the problem document, or an empty text. */
    public String problem(String member) {
        return contentType.startsWith(PROBLEM) ? Json.tree(body).path(member).asText() : "";
    }
}
