package org.boragethread.standins.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.boragethread.standins.harness.ConfigDocuments.Change;
import org.boragethread.standins.harness.ConfigDocuments.Intent;
import org.boragethread.standins.http.Json;

/** Calls the operators' interface of one entry. */
public final class OperatorClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int OK = 200;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String mAddress;
    private final String mToken;

    /** Makes a client of the interface at an address. */
    public OperatorClient(String address, String token) {
        mAddress = address;
        mToken = token;
    }

    /**
     * States an intent and confirms its plan.
     *
     * @return the revision at which it is in force
     * @throws IllegalStateException if the entry refuses the intent or the plan
     */
    public long apply(List<Change> changes, boolean force) {
        byte[] plan = plan(changes, force);
        return Json.parseTree(post("/v1/plans/confirm", plan)).path("revision").asLong();
    }

    /**
     * States an intent.
     *
     * @return the plan as the entry gave it
     * @throws IllegalStateException if the entry refuses the intent
     */
    public byte[] plan(List<Change> changes, boolean force) {
        Intent intent = new Intent(UUID.randomUUID().toString(), "harness", force, changes);
        return post("/v1/intents", Json.write(intent));
    }

    /** Confirms a plan and returns the answer, whatever its status. */
    public Confirmation confirm(byte[] plan) {
        HttpRequest.Builder request = request("/v1/plans/confirm");
        HttpResponse<byte[]> answer =
                exchange(request.POST(BodyPublishers.ofByteArray(plan)).build());
        return new Confirmation(answer.statusCode(), Json.parseTree(answer.body()));
    }

    /**
     * The answer to a confirmation.
     *
     * @param status HTTP status
     * @param body the JSON document
     */
    public record Confirmation(int status, JsonNode body) {}

    /** Returns what the entry reports about itself. */
    public JsonNode status() {
        return Json.parseTree(send(request("/v1/status").GET().build()));
    }

    private byte[] post(String path, byte[] body) {
        return send(request(path).POST(BodyPublishers.ofByteArray(body)).build());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mAddress + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + mToken);
    }

    private byte[] send(HttpRequest request) {
        HttpResponse<byte[]> answer = exchange(request);
        if (answer.statusCode() != OK) {
            throw new IllegalStateException(
                    "%s answered %d: %s"
                            .formatted(
                                    request.uri(), answer.statusCode(), new String(answer.body())));
        }
        return answer.body();
    }

    private HttpResponse<byte[]> exchange(HttpRequest request) {
        try {
            return mClient.send(request, BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(request.uri() + " cannot be called", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
