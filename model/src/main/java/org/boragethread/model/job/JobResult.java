package org.boragethread.model.job;

import java.util.Objects;

/**
 * The answer of a job. The array is not copied; nobody changes it.
 *
 * @param status HTTP status of the last stage
 * @param contentType media type of the body, or an empty string
 * @param body the whole body
 */
public record JobResult(int status, String contentType, byte[] body) {

    public JobResult {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
