package org.boragethread.core.pipeline;

import java.util.Objects;
import org.boragethread.model.outcome.Ran;

/**
 * A whole answer.
 *
 * @param status HTTP status of the last stage that ran
 * @param contentType media type of the body
 * @param body the body
 * @param ran whether a stage with an effect was run
 */
public record PipelineAnswer(int status, String contentType, byte[] body, Ran ran) {

    public PipelineAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(ran, "ran");
    }
}
