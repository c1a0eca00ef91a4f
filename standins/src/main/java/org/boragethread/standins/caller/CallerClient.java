package org.boragethread.standins.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client that sends pipeline requests to entries. */
public final class CallerClient {

    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(10);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT_MARGIN)
                    .build();

    /**
     * Sends a request. The future fails if the connection breaks, or if no response arrives soon
     * after the deadline of the request.
     *
     * @param entry address of the entry
     */
    public CompletableFuture<CallerResponse> call(String entry, CallerRequest request) {
        return mClient.sendAsync(httpRequest(entry, request), BodyHandlers.ofByteArray())
                .thenApply(CallerClient::toCallerResponse);
    }

    private static HttpRequest httpRequest(String entry, CallerRequest request) {
        URI uri = URI.create("http://" + entry + "/v1/pipelines/" + request.pipeline());
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofMillis(request.deadlineMs()).plus(TIMEOUT_MARGIN))
                        .header("Team", request.team())
                        .header("Deadline-Ms", Long.toString(request.deadlineMs()))
                        .POST(BodyPublishers.ofByteArray(request.body()));
        if (request.streaming()) {
            builder.header("Accept", "text/event-stream");
        }
        request.key().ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder.build();
    }

    private static CallerResponse toCallerResponse(HttpResponse<byte[]> response) {
        return new CallerResponse(
                response.statusCode(),
                response.headers().firstValue("Request-Id").orElse(""),
                response.headers().firstValue("Content-Type").orElse(""),
                response.body());
    }
}
