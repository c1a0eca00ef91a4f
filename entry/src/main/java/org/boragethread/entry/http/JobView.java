package org.boragethread.entry.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.boragethread.core.job.Job;
import org.boragethread.model.job.JobResult;

/**
 * A job as callers see it.
 *
 * @param job identifier
 * @param team team that submitted it
 * @param pipeline pipeline that it runs
 * @param status where it stands
 * @param stagesDone number of finished stages
 * @param detail why it waits, is held or has failed; absent if there is nothing to say
 * @param acceptedMs time of acceptance, in milliseconds since 1970
 * @param changedMs time of the last change, in milliseconds since 1970
 * @param result result of a finished job, or problem of a failed one
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
record JobView(
        String job,
        String team,
        String pipeline,
        String status,
        int stagesDone,
        String detail,
        long acceptedMs,
        long changedMs,
        Result result) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static JobView of(Job job, Optional<JobResult> result) {
        return new JobView(
                job.id().value(),
                job.spec().team().value(),
                job.spec().pipeline().value(),
                job.status().name().toLowerCase(Locale.ROOT),
                job.stagesDone(),
                job.detail(),
                job.acceptedMillis(),
                job.changedMillis(),
                result.map(Result::of).orElse(null));
    }

    byte[] toJson() {
        return json(this);
    }

    static byte[] toJson(List<JobView> jobs) {
        return json(new Listing(jobs));
    }

    private static byte[] json(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a job cannot be written", e);
        }
    }

    /**
     * Jobs of a team.
     *
     * @param jobs the newest first
     */
    record Listing(List<JobView> jobs) {}

    /**
     * The answer of the last stage that ran.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param text the body, if it is text
     * @param base64 the body in Base64, if it is not text
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Result(int status, String contentType, String text, String base64) {

        static Result of(JobResult result) {
            String type = result.contentType();
            if (type.startsWith("text/") || type.contains("json")) {
                String text = new String(result.body(), StandardCharsets.UTF_8);
                return new Result(result.status(), type, text, null);
            }
            String base64 = Base64.getEncoder().encodeToString(result.body());
            return new Result(result.status(), type, null, base64);
        }
    }
}
