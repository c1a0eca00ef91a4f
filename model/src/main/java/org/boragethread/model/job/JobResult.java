package org.boragethread.model.job;

import java.util.Objects;

/**
 * The result of a job. The array is not copied and must not be modified.
 *
 * @param status HTTP status of the last stage
 * @param contentType media type of the body, or an empty string
 * @param body the complete body
 */
public record JobResult(int status, String contentType, byte[] body) {

    public JobResult {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
