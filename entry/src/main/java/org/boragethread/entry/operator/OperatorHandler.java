package org.boragethread.entry.operator;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.config.ConfigCodec;
import org.boragethread.core.config.ConfigError;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.config.ConfirmService;
import org.boragethread.core.config.Planner;
import org.boragethread.model.config.Plan;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Serves operators: {@code POST /v1/intents}, {@code POST /v1/plans/confirm} and {@code GET
 * /v1/status}. Every request needs the bearer token.
 */
public final class OperatorHandler extends HttpHandler {

    private static final Logger LOGGER = LogManager.getLogger(OperatorHandler.class);
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final byte[] mAuthorization;
    private final ConfigStore mConfig;
    private final Planner mPlanner;
    private final ConfirmService mConfirm;
    private final StatusReporter mStatus;

    /** Creates a handler that serves only requests with the bearer token. */
    public OperatorHandler(
            String token,
            ConfigStore config,
            Planner planner,
            ConfirmService confirm,
            StatusReporter status) {
        mAuthorization = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
        mConfig = Objects.requireNonNull(config, "config");
        mPlanner = Objects.requireNonNull(planner, "planner");
        mConfirm = Objects.requireNonNull(confirm, "confirm");
        mStatus = Objects.requireNonNull(status, "status");
    }

    @Override
    public void service(Request request, Response response) throws IOException {
        if (!isAuthorized(request)) {
            response.setHeader("WWW-Authenticate", "Bearer");
            OperatorProblem.unauthorized().write(response);
            return;
        }
        switch (request.getMethod() + " " + request.getRequestURI()) {
            case "POST /v1/intents" -> plan(request, response);
            case "POST /v1/plans/confirm" -> confirm(request, response);
            case "GET /v1/status" -> write(response, 200, mStatus.toJson());
            default -> OperatorProblem.notFound().write(response);
        }
    }

    private boolean isAuthorized(Request request) {
        String header = request.getHeader("Authorization");
        return header != null
                && MessageDigest.isEqual(header.getBytes(StandardCharsets.UTF_8), mAuthorization);
    }

    private void plan(Request request, Response response) throws IOException {
        Either<ConfigError, Plan> plan =
                readBody(request)
                        .flatMap(ConfigCodec::readIntent)
                        .flatMap(intent -> mPlanner.plan(intent, mConfig.current()));
        if (plan.isLeft()) {
            OperatorProblem.of(plan.getLeft()).write(response);
            return;
        }
        write(response, 200, ConfigCodec.writePlan(plan.get()));
    }

    private void confirm(Request request, Response response) throws IOException {
        Either<ConfigError, Plan> plan = readBody(request).flatMap(ConfigCodec::readPlan);
        if (plan.isLeft()) {
            OperatorProblem.of(plan.getLeft()).write(response);
            return;
        }
        response.suspend();
        mConfirm.confirm(plan.get())
                .thenAccept(result -> writeConfirmResult(response, plan.get(), result));
    }

    private static void writeConfirmResult(
            Response response, Plan plan, Either<ConfigError, Long> result) {
        try {
            if (result.isLeft()) {
                OperatorProblem.of(result.getLeft()).write(response);
            } else {
                LOGGER.info(
                        "intent {} of {} took effect at revision {}",
                        plan.intent().id(),
                        plan.intent().operator(),
                        result.get());
                write(response, 200, revisionJson(result.get()));
            }
        } catch (IOException e) {
            LOGGER.warn(
                    "failed to send the result of plan {}; the operator has disconnected",
                    plan.id());
        } finally {
            response.resume();
        }
    }

    private static byte[] revisionJson(long revision) {
        return "{\"revision\":%d}".formatted(revision).getBytes(StandardCharsets.UTF_8);
    }

    private static Either<ConfigError, byte[]> readBody(Request request) throws IOException {
        byte[] body = request.getInputStream().readNBytes(MAX_BODY_BYTES + 1);
        if (body.length > MAX_BODY_BYTES) {
            return Either.left(
                    new ConfigError(
                            ConfigError.Kind.INVALID,
                            "the body exceeds %d bytes".formatted(MAX_BODY_BYTES)));
        }
        return Either.right(body);
    }

    private static void write(Response response, int status, byte[] json) throws IOException {
        response.setStatus(status);
        response.setContentType("application/json");
        response.setContentLength(json.length);
        response.getOutputStream().write(json);
    }
}
