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

    /** Path of the jobs. */
    public static final String JOBS = "/v1/jobs";

    private static final Logger LOGGER = LogManager.getLogger(JobHandler.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration FIND_DELAY = Duration.ofMillis(50);
    private static final int FIND_TRIES = 20;
    private static final int MAX_LISTED = 100;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final JobService mJobs;
    private final RequestParser mParser;
    private final Scheduler mScheduler;
    private final CallerLimits mLimits;
    private final JobMetrics mMetrics;
    private final Supplier<Optional<String>> mObstacle;

    /**
     * Makes a handler.
     *
     * @param obstacle why submissions are refused now, or empty
     */
    public JobHandler(
            JobService jobs,
            Supplier<Configuration> configuration,
            TimeSource time,
            Scheduler scheduler,
            CallerLimits limits,
            JobMetrics metrics,
            Supplier<Optional<String>> obstacle) {
        mJobs = jobs;
        mParser = new RequestParser(configuration, time);
        mScheduler = scheduler;
        mLimits = limits;
        mMetrics = metrics;
        mObstacle = obstacle;
    }

    @Override
    public void service(Request request, Response response) {
        String path = request.getRequestURI();
        Reply reply = new Reply(response);
        if (path.equals(JOBS) && request.getMethod() == Method.GET) {
            list(request, reply);
        } else if (path.startsWith(JOBS + "/")) {
            serveJob(request, path.substring(JOBS.length() + 1), reply);
        } else {
            reply.refuse(notFound("send GET %s?team={team} or GET %s/{id}".formatted(JOBS, JOBS)));
        }
    }

    private static Refusal notFound(String detail) {
        return Refusal.notRun(RefusalReason.NOT_FOUND, detail);
    }

    private void list(Request request, Reply reply) {
        String team = request.getParameter("team");
        if (!Names.isValid(team)) {
            reply.refuse(
                    Refusal.notRun(
                            RefusalReason.BAD_REQUEST,
                            "name the team as %s?team={team}".formatted(JOBS)));
            return;
        }
        List<JobView> jobs =
                mJobs.list(new TeamId(team), MAX_LISTED).stream()
                        .map(job -> JobView.of(job, Optional.empty()))
                        .toList();
        reply.send(OK, JobView.toJson(jobs));
    }

    private void serveJob(Request request, String name, Reply reply) {
        if (!Names.isValid(name)) {
            reply.refuse(unknown(name));
            return;
        }
        Method method = request.getMethod();
        if (method != Method.GET && method != Method.DELETE) {
            reply.refuse(notFound("send GET or DELETE to a job"));
            return;
        }
        findJob(new JobId(name), method, reply, FIND_TRIES);
    }

    private static Refusal unknown(String name) {
        return notFound("no job \"%s\", or it ended long ago".formatted(name));
    }

    // Another entry may have accepted the job just now; its record is then read here soon.
    private void findJob(JobId id, Method method, Reply reply, int tries) {
        Optional<Job> job = mJobs.find(id);
        if (job.isEmpty() && tries > 0) {
            reply.suspend();
            mScheduler.schedule(FIND_DELAY, () -> findJob(id, method, reply, tries - 1));
        } else if (job.isEmpty()) {
            reply.refuse(unknown(id.value()));
        } else if (method == Method.GET) {
            show(job.get(), reply);
        } else {
            cancel(id, reply);
        }
    }

    private void cancel(JobId id, Reply reply) {
        reply.suspend();
        mJobs.cancel(id, TIMEOUT)
                .thenAccept(
                        job ->
                                reply.sendOrRefuse(
                                        OK, job.map(j -> JobView.of(j, Optional.empty()))));
    }

    private void show(Job job, Reply reply) {
        if (job.result().isEmpty()) {
            reply.send(OK, JobView.of(job, Optional.empty()).toJson());
            return;
        }
        reply.suspend();
        mJobs.result(job.id()).thenAccept(result -> reply.sendOrRefuse(OK, view(job, result)));
    }

    private static Either<Refusal, JobView> view(Job job, Either<Refusal, JobResult> result) {
        return result.map(value -> JobView.of(job, Optional.of(value)));
    }

    /** Takes a submission to a pipeline. */
    void submit(Request request, Response response, String pipeline) {
        Reply reply = new Reply(response);
        Optional<String> obstacle = mObstacle.get();
        if (obstacle.isPresent()) {
            reply.refuse(
                    Refusal.notRun(RefusalReason.NOT_READY, obstacle.get(), Duration.ofSeconds(1)));
            return;
        }
        Either<Refusal, PipelineRequest> parsed = mParser.parse(request, pipeline);
        if (parsed.isLeft()) {
            reply.refuse(parsed.getLeft());
            return;
        }
        Either<Refusal, PipelineRequest> whole =
                mParser.readBody(parsed.get(), request, mLimits.maxBodyBytes());
        if (whole.isLeft()) {
            response.setHeader("Connection", "close");
            reply.refuse(whole.getLeft());
            return;
        }
        reply.suspend();
        submit(whole.get(), reply);
    }

    private void submit(PipelineRequest request, Reply reply) {
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
        mJobs.submit(submission, TIMEOUT).thenAccept(job -> onSubmitted(job, reply));
    }

    private void onSubmitted(Either<Refusal, Job> job, Reply reply) {
        if (job.isLeft()) {
            reply.refuse(job.getLeft());
            return;
        }
        mMetrics.accepted();
        reply.locate(job.get().id());
        reply.sendOrRefuse(ACCEPTED, job.map(kept -> JobView.of(kept, Optional.empty())));
    }

    /** Writes one answer. */
    private final class Reply {

        private final Response mResponse;
        private final RequestId mId = RequestIds.next();

        Reply(Response response) {
            mResponse = response;
        }

        void suspend() {
            if (!mResponse.isSuspended()) {
                mResponse.suspend();
            }
        }

        void locate(JobId job) {
            mResponse.setHeader("Location", JOBS + "/" + job);
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
                LOGGER.debug("the caller has gone: {}", e.getMessage());
            }
            if (mResponse.isSuspended()) {
                mResponse.resume();
            }
        }
    }
}
