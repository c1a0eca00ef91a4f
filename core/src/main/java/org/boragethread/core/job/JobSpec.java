package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.claim.KeyHash;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.team.TeamId;

/**
 * Immutable specification of a job.
 *
 * @param team the caller's team
 * @param pipeline the pipeline to run
 * @param request the request that submitted the job
 * @param key hash of team and idempotency key, if the caller gave one
 * @param bodyHash hash of the pipeline name and the submitted body, to detect a reused key
 */
public record JobSpec(
        @JsonProperty("t") TeamId team,
        @JsonProperty("p") PipelineId pipeline,
        @JsonProperty("q") RequestId request,
        @JsonProperty("k") Optional<KeyHash> key,
        @JsonProperty("h") long bodyHash) {

    public JobSpec {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(pipeline, "pipeline");
        Objects.requireNonNull(request, "request");
        key = key == null ? Optional.empty() : key;
    }
}
