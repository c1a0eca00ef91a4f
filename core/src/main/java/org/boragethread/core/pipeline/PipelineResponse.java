package org.boragethread.core.pipeline;

import java.util.Objects;
import org.boragethread.model.outcome.ExecutionStatus;

/**
 * Complete response to a request.
 *
 * @param status HTTP status of the last stage that ran
 * @param contentType media type of the body
 * @param body response body
 * @param ran whether a non-idempotent stage was run
 */
public record PipelineResponse(int status, String contentType, byte[] body, ExecutionStatus ran) {

    public PipelineResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(ran, "ran");
    }
}
