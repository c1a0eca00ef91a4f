package org.boragethread.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** An HTTP/1.1 client for one address, for tests. */
public final class HttpCalls {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String mAddress;

    public HttpCalls(String address) {
        mAddress = address;
    }

    /** Returns a builder of a request for a path. */
    public HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mAddress + path)).timeout(TIMEOUT);
    }

    /** Sends a GET request and waits for the response. */
    public HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return mClient.send(request(path).build(), BodyHandlers.ofString());
    }

    /** Sends a POST request and waits for the response. */
    public HttpResponse<String> post(String path, String body, String... headers)
            throws IOException, InterruptedException {
        return mClient.send(postRequest(path, body, headers), BodyHandlers.ofString());
    }

    /** Sends a POST request without waiting for the response. */
    public CompletableFuture<HttpResponse<String>> postAsync(
            String path, String body, String... headers) {
        return mClient.sendAsync(postRequest(path, body, headers), BodyHandlers.ofString());
    }

    private HttpRequest postRequest(String path, String body, String... headers) {
        HttpRequest.Builder request = request(path).POST(BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return request.build();
    }
}
