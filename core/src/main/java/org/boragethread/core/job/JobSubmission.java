package org.boragethread.core.job;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.team.TeamId;

/**
 * A caller's request to run a job. The body is not copied and must not be modified.
 *
 * @param team the caller's team
 * @param pipeline the pipeline to run
 * @param request the caller's request
 * @param key the caller's idempotency key, if there is one
 * @param contentType media type of the body
 * @param body input of the first stage
 */
public record JobSubmission(
        TeamId team,
        PipelineId pipeline,
        RequestId request,
        Optional<String> key,
        String contentType,
        byte[] body) {

    public JobSubmission {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(pipeline, "pipeline");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
