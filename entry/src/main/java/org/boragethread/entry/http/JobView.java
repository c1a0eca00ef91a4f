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
 * JSON representation of a job for callers.
 *
 * @param job identifier
 * @param team team that submitted the job
 * @param pipeline pipeline that the job runs
 * @param status status of the job
 * @param stagesDone number of finished stages
 * @param detail why the job waits, is held or has failed; omitted if empty
 * @param acceptedMs time of acceptance, in Unix milliseconds
 * @param changedMs time of the last change, in Unix milliseconds
 * @param result result of a finished job, or the problem of a failed one
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
        return json(new JobList(jobs));
    }

    private static byte[] json(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON encoding of a job failed", e);
        }
    }

    /**
     * Jobs of a team.
     *
     * @param jobs the jobs, newest first
     */
    record JobList(List<JobView> jobs) {}

    /**
     * The response of the last stage that ran.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param text the body, if its media type is textual; otherwise omitted
     * @param base64 the body in Base64, if its media type is not textual; otherwise omitted
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
