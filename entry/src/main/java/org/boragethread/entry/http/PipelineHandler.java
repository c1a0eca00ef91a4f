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
    private final Supplier<Optional<String>> mNotReadyReason;

    /**
     * Creates a handler.
     *
     * @param notReadyReason why requests are refused at present; empty if they are accepted
     */
    public PipelineHandler(
            PipelineController pipelines,
            Supplier<Configuration> configuration,
            RequestMetrics metrics,
            TimeSource time,
            CallerLimits limits,
            TeamAdmission teams,
            Supplier<Optional<String>> notReadyReason) {
        mPipelines = pipelines;
        mParser = new RequestParser(configuration, time);
        mMetrics = metrics;
        mLimits = limits;
        mTeams = teams;
        mNotReadyReason = notReadyReason;
    }

    @Override
    public void service(Request request, Response response) {
        mMetrics.begin();
        Either<Refusal, PipelineRequest> parsed = parseHead(request);
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
        Either<Refusal, PipelineRequest> complete =
                mParser.readBody(parsed.get(), request, mLimits.maxBodyBytes());
        if (complete.isLeft()) {
            response.setHeader("Connection", "close");
            sink.onRefused(complete.getLeft());
            return;
        }
        response.suspend();
        DisconnectListener disconnect = new DisconnectListener(sink);
        sink.onDisconnect(disconnect);
        disconnect.attach(mPipelines.start(complete.get(), sink));
    }

    private Either<Refusal, PipelineRequest> parseHead(Request request) {
        String path = request.getRequestURI();
        if (!path.startsWith(PREFIX) || request.getMethod() != Method.POST) {
            return refuse(RefusalReason.NOT_FOUND, "use POST %s{name}".formatted(PREFIX));
        }
        Optional<String> notReadyReason = mNotReadyReason.get();
        if (notReadyReason.isPresent()) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.NOT_READY, notReadyReason.get(), Duration.ofSeconds(1)));
        }
        if (request.getContentLengthLong() > mLimits.maxBodyBytes()) {
            return refuse(
                    RefusalReason.BODY_TOO_LARGE,
                    "the request body exceeds %d bytes".formatted(mLimits.maxBodyBytes()));
        }
        return mParser.parse(request, path.substring(PREFIX.length()));
    }

    private static Either<Refusal, PipelineRequest> refuse(RefusalReason reason, String detail) {
        return Either.left(Refusal.notRun(reason, detail));
    }

    /** Cancels the request when its caller disconnects, possibly before its run has started. */
    private static final class DisconnectListener implements Runnable {

        private final CallerResponse mSink;
        private Optional<RunHandle> mRun = Optional.empty();
        private boolean mDisconnected;

        DisconnectListener(CallerResponse sink) {
            mSink = sink;
        }

        void attach(RunHandle run) {
            boolean disconnected;
            synchronized (this) {
                mRun = Optional.of(run);
                disconnected = mDisconnected;
            }
            if (disconnected) {
                run.cancel();
            }
        }

        @Override
        public void run() {
            Optional<RunHandle> run;
            synchronized (this) {
                mDisconnected = true;
                run = mRun;
            }
            run.ifPresent(RunHandle::cancel);
            mSink.abandon();
        }
    }
}
