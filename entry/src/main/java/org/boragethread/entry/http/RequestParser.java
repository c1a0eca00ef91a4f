package org.boragethread.entry.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.boragethread.core.pipeline.PipelineRequest;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.Names;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;
import org.glassfish.grizzly.http.server.Request;

/** Converts an HTTP request into a pipeline request, or into a refusal if it is invalid. */
final class RequestParser {

    private static final JsonFactory JSON = new JsonFactory();
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final long MAX_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();

    private final Supplier<Configuration> mConfiguration;
    private final TimeSource mTime;

    RequestParser(Supplier<Configuration> configuration, TimeSource time) {
        mConfiguration = configuration;
        mTime = time;
    }

    /**
     * Parses everything except the body, so that an invalid request is refused before its body is
     * read.
     */
    Either<Refusal, PipelineRequest> parse(Request request, String pipelineName) {
        Configuration configuration = mConfiguration.get();
        Optional<Pipeline> pipeline = findPipeline(configuration, pipelineName);
        if (pipeline.isEmpty()) {
            return refuse(
                    RefusalReason.UNKNOWN_PIPELINE,
                    "unknown pipeline \"%s\"".formatted(pipelineName));
        }
        String teamName = request.getHeader("Team");
        Optional<Team> team = findTeam(configuration, teamName);
        if (team.isEmpty()) {
            return refuse(RefusalReason.UNKNOWN_TEAM, "unknown team \"%s\"".formatted(teamName));
        }
        Either<Refusal, Duration> deadline = deadline(request, pipeline.get());
        if (deadline.isLeft()) {
            return Either.left(deadline.getLeft());
        }
        Either<Refusal, Priority> priority = priority(request);
        if (priority.isLeft()) {
            return Either.left(priority.getLeft());
        }
        Optional<String> key = Optional.ofNullable(request.getHeader("Idempotency-Key"));
        if (key.isPresent() && !IDEMPOTENCY_KEY.matcher(key.get()).matches()) {
            return badRequest(
                    "Idempotency-Key must be 1 to 200 printable characters without spaces");
        }
        return Either.right(
                new PipelineRequest(
                        RequestIds.next(),
                        pipeline.get(),
                        team.get(),
                        priority.get(),
                        mTime.nanoTime() + deadline.get().toNanos(),
                        key,
                        Optional.ofNullable(request.getContentType())
                                .orElse("application/octet-stream"),
                        ByteBuffer.allocate(0),
                        wantsStream(request)));
    }

    /** Reads the body of a request whose other parts are valid. */
    Either<Refusal, PipelineRequest> readBody(PipelineRequest head, Request request, int maxBytes) {
        return RequestBody.read(request, maxBytes).flatMap(body -> withBody(head, body));
    }

    /** Adds the body; a JSON body must be well-formed. */
    private Either<Refusal, PipelineRequest> withBody(PipelineRequest request, byte[] body) {
        if (request.contentType().startsWith("application/json")) {
            Optional<String> error = jsonError(body);
            if (error.isPresent()) {
                return badRequest("the request body is not valid JSON: " + error.get());
            }
        }
        return Either.right(
                new PipelineRequest(
                        request.id(),
                        request.pipeline(),
                        request.team(),
                        request.priority(),
                        request.deadlineNanos(),
                        request.key(),
                        request.contentType(),
                        ByteBuffer.wrap(body),
                        request.streaming()));
    }

    private static Optional<String> jsonError(byte[] body) {
        try (JsonParser parser = JSON.createParser(body)) {
            if (parser.nextToken() == null) {
                return Optional.of("it is empty");
            }
            parser.skipChildren();
            return parser.nextToken() == null
                    ? Optional.empty()
                    : Optional.of("there is content after the first value");
        } catch (IOException e) {
            return Optional.of(e.getMessage().lines().findFirst().orElse("it is malformed"));
        }
    }

    private static Optional<Pipeline> findPipeline(Configuration configuration, String name) {
        return Names.isValid(name)
                ? configuration.pipeline(new PipelineId(name))
                : Optional.empty();
    }

    private static Optional<Team> findTeam(Configuration configuration, String name) {
        return Names.isValid(name) ? configuration.team(new TeamId(name)) : Optional.empty();
    }

    private static Either<Refusal, Duration> deadline(Request request, Pipeline pipeline) {
        String text = request.getHeader("Deadline-Ms");
        if (text == null) {
            return Either.right(pipeline.deadline());
        }
        if (!text.matches("\\d{1,9}")
                || Long.parseLong(text) < 1
                || Long.parseLong(text) > MAX_DEADLINE_MILLIS) {
            return badRequest(
                    "Deadline-Ms \"%s\" must be an integer from 1 to %d"
                            .formatted(text, MAX_DEADLINE_MILLIS));
        }
        return Either.right(Duration.ofMillis(Long.parseLong(text)));
    }

    private static Either<Refusal, Priority> priority(Request request) {
        String text = request.getHeader("Priority");
        if (text == null) {
            return Either.right(Priority.NORMAL);
        }
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "interactive" -> Either.right(Priority.INTERACTIVE);
            case "normal" -> Either.right(Priority.NORMAL);
            case "batch" -> Either.right(Priority.BATCH);
            default ->
                    badRequest(
                            "Priority \"%s\" must be interactive, normal or batch".formatted(text));
        };
    }

    private static boolean wantsStream(Request request) {
        String accept = request.getHeader("Accept");
        return accept != null && accept.contains("text/event-stream");
    }

    private static <T> Either<Refusal, T> badRequest(String detail) {
        return refuse(RefusalReason.BAD_REQUEST, detail);
    }

    private static <T> Either<Refusal, T> refuse(RefusalReason reason, String detail) {
        return Either.left(Refusal.notRun(reason, detail));
    }
}
