package org.boragethread.bench.client;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.boragethread.standins.caller.CallerResponse;

/** HTTP client that sends POST requests and records when each part of the response arrives. */
public final class TimedClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Posts a body. The returned future fails if the response is incomplete. */
    public CompletableFuture<TimedAnswer> post(
            String address, String path, byte[] body, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(TIMEOUT)
                        .POST(BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        LineTimer lines = new LineTimer();
        return mClient.sendAsync(request.build(), BodyHandlers.fromLineSubscriber(lines))
                .thenApply(response -> answer(response, lines));
    }

    private static TimedAnswer answer(HttpResponse<Void> response, LineTimer lines) {
        String type = response.headers().firstValue("Content-Type").orElse("");
        String text = lines.text();
        boolean events = type.startsWith("text/event-stream");
        byte[] body = (events ? text : text.stripTrailing()).getBytes(StandardCharsets.UTF_8);
        String id = response.headers().firstValue("Request-Id").orElse("");
        CallerResponse answer = new CallerResponse(response.statusCode(), id, type, body);
        return new TimedAnswer(answer, lines.arrivalNanos(), System.nanoTime());
    }
}
