package org.boragethread.core.pipeline;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.Team;

/**
 * A caller's request to run a pipeline.
 *
 * @param id identifier of the request
 * @param pipeline pipeline to run
 * @param team the caller's team
 * @param priority priority among queued calls
 * @param deadlineNanos monotonic time by which the response must be complete, in nanoseconds
 * @param key the caller's idempotency key, if any
 * @param contentType media type of the body
 * @param body input of the first stage; must not be modified afterwards
 * @param streaming whether to stream the tokens of the last stage to the caller
 */
public record PipelineRequest(
        RequestId id,
        Pipeline pipeline,
        Team team,
        Priority priority,
        long deadlineNanos,
        Optional<String> key,
        String contentType,
        ByteBuffer body,
        boolean streaming) {

    public PipelineRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(pipeline, "pipeline");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
