package org.boragethread.entry.http;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.boragethread.core.fairness.TeamAdmission;
import org.boragethread.core.pipeline.PipelineController;
import org.boragethread.core.pipeline.PipelineRequest;
import org.boragethread.core.pipeline.RunHandle;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Serves {@code POST /v1/pipelines/{name}}. */
public final class PipelineHandler extends HttpHandler {

    private static final String PREFIX = "/v1/pipelines/";

    private final PipelineController mPipelines;
    private final RequestParser mParser;
    private final RequestMetrics mMetrics;
    private final CallerLimits mLimits;
    private final TeamAdmission mTeams;
    private final Supplier<Optional<String>> mObstacle;

    /**
     * Makes a handler.
     *
     * @param obstacle why requests are refused now, or empty
     */
    public PipelineHandler(
            PipelineController pipelines,
            Supplier<Configuration> configuration,
            RequestMetrics metrics,
            TimeSource time,
            CallerLimits limits,
            TeamAdmission teams,
            Supplier<Optional<String>> obstacle) {
        mPipelines = pipelines;
        mParser = new RequestParser(configuration, time);
        mMetrics = metrics;
        mLimits = limits;
        mTeams = teams;
        mObstacle = obstacle;
    }

    @Override
    public void service(Request request, Response response) {
        mMetrics.begin();
        Either<Refusal, PipelineRequest> parsed = check(request);
        RequestId id = parsed.map(PipelineRequest::id).getOrElse(() -> RequestIds.next());
        String team = Optional.ofNullable(request.getHeader("Team")).orElse("");
        Either<Refusal, TeamAdmission.Admission> admitted =
                parsed.flatMap(accepted -> mTeams.tryAdmit(accepted.team()));
        Runnable onFinished =
                () -> {
                    mMetrics.end();
                    admitted.forEach(TeamAdmission.Admission::close);
                };
        CallerResponse sink = new CallerResponse(response, id, team, mMetrics, onFinished);
        if (admitted.isLeft()) {
            sink.onRefused(admitted.getLeft());
            return;
        }
        Either<Refusal, PipelineRequest> whole =
                mParser.readBody(parsed.get(), request, mLimits.maxBodyBytes());
        if (whole.isLeft()) {
            response.setHeader("Connection", "close");
            sink.onRefused(whole.getLeft());
            return;
        }
        response.suspend();
        Disconnect disconnect = new Disconnect(sink);
        sink.onDisconnect(disconnect);
        disconnect.attach(mPipelines.start(whole.get(), sink));
    }

    private Either<Refusal, PipelineRequest> check(Request request) {
        String path = request.getRequestURI();
        if (!path.startsWith(PREFIX) || request.getMethod() != Method.POST) {
            return refuse(
                    RefusalReason.NOT_FOUND, "send POST %s{name}, not this".formatted(PREFIX));
        }
        Optional<String> obstacle = mObstacle.get();
        if (obstacle.isPresent()) {
            return Either.left(
                    Refusal.notRun(RefusalReason.NOT_READY, obstacle.get(), Duration.ofSeconds(1)));
        }
        if (request.getContentLengthLong() > mLimits.maxBodyBytes()) {
            return refuse(
                    RefusalReason.BODY_TOO_LARGE,
                    "the body is longer than %d bytes".formatted(mLimits.maxBodyBytes()));
        }
        return mParser.parse(request, path.substring(PREFIX.length()));
    }

    private static Either<Refusal, PipelineRequest> refuse(RefusalReason reason, String detail) {
        return Either.left(Refusal.notRun(reason, detail));
    }

    /** Withdraws the request when its caller goes away. */
    private static final class Disconnect implements Runnable {

        private final CallerResponse mSink;
        private Optional<RunHandle> mRun = Optional.empty();
        private boolean mGone;

        Disconnect(CallerResponse sink) {
            mSink = sink;
        }

        void attach(RunHandle run) {
            boolean gone;
            synchronized (this) {
                mRun = Optional.of(run);
                gone = mGone;
            }
            if (gone) {
                run.cancel();
            }
        }

        @Override
        public void run() {
            Optional<RunHandle> run;
            synchronized (this) {
                mGone = true;
                run = mRun;
            }
            run.ifPresent(RunHandle::cancel);
            mSink.abandon();
        }
    }
}
