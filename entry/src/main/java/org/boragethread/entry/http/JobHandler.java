package org.boragethread.entry.http;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.job.Job;
import org.boragethread.core.job.JobService;
import org.boragethread.core.job.JobSubmission;
import org.boragethread.core.pipeline.PipelineRequest;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.Names;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.team.TeamId;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Serves {@code POST /v1/pipelines/{name}/jobs} and everything under {@code /v1/jobs}. */
public final class JobHandler extends HttpHandler {

    /** Base path of the job API. */
    public static final String JOBS_PATH = "/v1/jobs";

    private static final Logger LOGGER = LogManager.getLogger(JobHandler.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration LOOKUP_RETRY_DELAY = Duration.ofMillis(50);
    private static final int MAX_LOOKUP_RETRIES = 20;
    private static final int MAX_LISTED_JOBS = 100;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final JobService mJobs;
    private final RequestParser mParser;
    private final Scheduler mScheduler;
    private final CallerLimits mLimits;
    private final JobMetrics mMetrics;
    private final Supplier<Optional<String>> mNotReadyReason;

    /**
     * Creates a handler.
     *
     * @param notReadyReason why submissions are refused at present; empty if they are accepted
     */
    public JobHandler(
            JobService jobs,
            Supplier<Configuration> configuration,
            TimeSource time,
            Scheduler scheduler,
            CallerLimits limits,
            JobMetrics metrics,
            Supplier<Optional<String>> notReadyReason) {
        mJobs = jobs;
        mParser = new RequestParser(configuration, time);
        mScheduler = scheduler;
        mLimits = limits;
        mMetrics = metrics;
        mNotReadyReason = notReadyReason;
    }

    @Override
    public void service(Request request, Response response) {
        String path = request.getRequestURI();
        ResponseWriter writer = new ResponseWriter(response);
        if (path.equals(JOBS_PATH) && request.getMethod() == Method.GET) {
            list(request, writer);
        } else if (path.startsWith(JOBS_PATH + "/")) {
            serveJob(request, path.substring(JOBS_PATH.length() + 1), writer);
        } else {
            writer.refuse(
                    notFound(
                            "use GET %s?team={team} or GET %s/{id}"
                                    .formatted(JOBS_PATH, JOBS_PATH)));
        }
    }

    private static Refusal notFound(String detail) {
        return Refusal.notRun(RefusalReason.NOT_FOUND, detail);
    }

    private void list(Request request, ResponseWriter writer) {
        String team = request.getParameter("team");
        if (!Names.isValid(team)) {
            writer.refuse(
                    Refusal.notRun(
                            RefusalReason.BAD_REQUEST,
                            "the team parameter is missing or invalid: use %s?team={team}"
                                    .formatted(JOBS_PATH)));
            return;
        }
        List<JobView> jobs =
                mJobs.list(new TeamId(team), MAX_LISTED_JOBS).stream()
                        .map(job -> JobView.of(job, Optional.empty()))
                        .toList();
        writer.send(OK, JobView.toJson(jobs));
    }

    private void serveJob(Request request, String name, ResponseWriter writer) {
        if (!Names.isValid(name)) {
            writer.refuse(unknownJob(name));
            return;
        }
        Method method = request.getMethod();
        if (method != Method.GET && method != Method.DELETE) {
            writer.refuse(notFound("use GET or DELETE on a job"));
            return;
        }
        findJob(new JobId(name), method, writer, MAX_LOOKUP_RETRIES);
    }

    private static Refusal unknownJob(String name) {
        return notFound("job \"%s\" does not exist or ended too long ago".formatted(name));
    }

    // Retries the lookup: another entry may just have accepted the job, and this entry may not have
    // read its record yet.
    private void findJob(JobId id, Method method, ResponseWriter writer, int retriesLeft) {
        Optional<Job> job = mJobs.find(id);
        if (job.isEmpty() && retriesLeft > 0) {
            writer.suspend();
            mScheduler.schedule(
                    LOOKUP_RETRY_DELAY, () -> findJob(id, method, writer, retriesLeft - 1));
        } else if (job.isEmpty()) {
            writer.refuse(unknownJob(id.value()));
        } else if (method == Method.GET) {
            show(job.get(), writer);
        } else {
            cancel(id, writer);
        }
    }

    private void cancel(JobId id, ResponseWriter writer) {
        writer.suspend();
        mJobs.cancel(id, TIMEOUT)
                .thenAccept(
                        job ->
                                writer.sendOrRefuse(
                                        OK, job.map(j -> JobView.of(j, Optional.empty()))));
    }

    private void show(Job job, ResponseWriter writer) {
        if (job.result().isEmpty()) {
            writer.send(OK, JobView.of(job, Optional.empty()).toJson());
            return;
        }
        writer.suspend();
        mJobs.result(job.id()).thenAccept(result -> writer.sendOrRefuse(OK, view(job, result)));
    }

    private static Either<Refusal, JobView> view(Job job, Either<Refusal, JobResult> result) {
        return result.map(value -> JobView.of(job, Optional.of(value)));
    }

    /** Handles the submission of a job to a pipeline. */
    void submit(Request request, Response response, String pipeline) {
        ResponseWriter writer = new ResponseWriter(response);
        Optional<String> notReadyReason = mNotReadyReason.get();
        if (notReadyReason.isPresent()) {
            writer.refuse(
                    Refusal.notRun(
                            RefusalReason.NOT_READY, notReadyReason.get(), Duration.ofSeconds(1)));
            return;
        }
        Either<Refusal, PipelineRequest> parsed = mParser.parse(request, pipeline);
        if (parsed.isLeft()) {
            writer.refuse(parsed.getLeft());
            return;
        }
        Either<Refusal, PipelineRequest> complete =
                mParser.readBody(parsed.get(), request, mLimits.maxBodyBytes());
        if (complete.isLeft()) {
            response.setHeader("Connection", "close");
            writer.refuse(complete.getLeft());
            return;
        }
        writer.suspend();
        submit(complete.get(), writer);
    }

    private void submit(PipelineRequest request, ResponseWriter writer) {
        byte[] body = new byte[request.body().remaining()];
        request.body().duplicate().get(body);
        JobSubmission submission =
                new JobSubmission(
                        request.team().id(),
                        request.pipeline().id(),
                        request.id(),
                        request.key(),
                        request.contentType(),
                        body);
        mJobs.submit(submission, TIMEOUT).thenAccept(job -> onSubmitted(job, writer));
    }

    private void onSubmitted(Either<Refusal, Job> job, ResponseWriter writer) {
        if (job.isLeft()) {
            writer.refuse(job.getLeft());
            return;
        }
        mMetrics.accepted();
        writer.setLocation(job.get().id());
        writer.sendOrRefuse(ACCEPTED, job.map(j -> JobView.of(j, Optional.empty())));
    }

    /** Writes the response to one call. */
    private final class ResponseWriter {

        private final Response mResponse;
        private final RequestId mId = RequestIds.next();

        ResponseWriter(Response response) {
            mResponse = response;
        }

        void suspend() {
            if (!mResponse.isSuspended()) {
                mResponse.suspend();
            }
        }

        void setLocation(JobId job) {
            mResponse.setHeader("Location", JOBS_PATH + "/" + job);
        }

        void sendOrRefuse(int status, Either<Refusal, JobView> view) {
            if (view.isLeft()) {
                refuse(view.getLeft());
            } else {
                send(status, view.get().toJson());
            }
        }

        void send(int status, byte[] json) {
            write(status, "application/json", json);
        }

        void refuse(Refusal refusal) {
            mMetrics.refused(refusal.reason());
            Problem problem = new Problem(refusal, mId);
            problem.retryAfterSeconds()
                    .ifPresent(seconds -> mResponse.setHeader("Retry-After", seconds));
            write(problem.getStatus(), Problem.MEDIA_TYPE, problem.toJson());
        }

        private void write(int status, String type, byte[] body) {
            mResponse.setStatus(status);
            mResponse.setContentType(type);
            mResponse.setHeader("Request-Id", mId.toString());
            mResponse.setContentLength(body.length);
            try {
                mResponse.getNIOOutputStream().write(body);
            } catch (IOException e) {
                LOGGER.debug("caller disconnected: {}", e.getMessage());
            }
            if (mResponse.isSuspended()) {
                mResponse.resume();
            }
        }
    }
}
