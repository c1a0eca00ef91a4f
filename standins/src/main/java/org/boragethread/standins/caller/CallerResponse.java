package org.boragethread.standins.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.boragethread.standins.http.Json;

/**
 * The response to a pipeline request.
 *
 * @param status HTTP status
 * @param requestId value of the {@code Request-Id} header, or an empty text
 * @param contentType value of the {@code Content-Type} header, or an empty text
 * @param body content of the body
 */
public record CallerResponse(int status, String requestId, String contentType, byte[] body) {

    private static final String PROBLEM = "application/problem+json";

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns whether this is a problem document with all members that callers rely on. */
    public boolean isProblem() {
        if (!contentType.startsWith(PROBLEM)) {
            return false;
        }
        JsonNode problem = Json.parseTree(body);
        return problem.path("status").asInt() == status
                && !problem.path("reason").asText().isEmpty()
                && !problem.path("remedy").asText().isEmpty()
                && problem.path("ran").asText().matches("no|unknown|yes");
    }

    /** Returns a member of the problem document, or an empty text if there is none. */
    public String problem(String member) {
        return contentType.startsWith(PROBLEM) ? Json.parseTree(body).path(member).asText() : "";
    }
}
