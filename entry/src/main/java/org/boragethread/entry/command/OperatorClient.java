package org.boragethread.entry.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** HTTP client of an entry's operator API. */
final class OperatorClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private final String mEntry;
    private final String mToken;

    OperatorClient(String entry, String token) {
        mEntry = entry;
        mToken = token;
    }

    Response get(String path) throws IOException {
        return send(request(path).GET().build());
    }

    Response post(String path, byte[] json) throws IOException {
        return send(
                request(path)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(json))
                        .build());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mEntry + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + mToken);
    }

    private Response send(HttpRequest request) throws IOException {
        try {
            HttpResponse<byte[]> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Response(response.statusCode(), response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for " + request.uri(), e);
        }
    }

    /** A response of the entry. */
    record Response(int status, byte[] body) {

        boolean isSuccess() {
            return status == 200;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }
}
