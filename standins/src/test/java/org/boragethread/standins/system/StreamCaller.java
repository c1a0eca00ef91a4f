package org.boragethread.standins.system;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A caller that receives event streams and takes up those that were cut off. */
final class StreamCaller {

    private static final String KEY = "Token key-1";
    private static final String BODY = "body";

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * What a caller has received of a stream.
     *
     * @param status status of the response
     * @param body body as far as it arrived
     * @param complete whether the body ended rather than was cut off
     */
    record Received(int status, String body, boolean complete) {

        /** Returns the versions that wrote the events. */
        Set<String> versions() {
            return new LinkedHashSet<>(values("data: "));
        }

        /** Returns the IDs of the events. */
        List<String> eventIds() {
            return values("id: ");
        }

        String lastEventId() {
            List<String> ids = eventIds();
            return ids.get(ids.size() - 1);
        }

        private List<String> values(String field) {
            return body.lines()
                    .filter(line -> line.startsWith(field))
                    .map(line -> line.substring(field.length()))
                    .toList();
        }
    }

    /** Requests a stream; further headers are pairs of names and values. */
    Received request(TestGateway gateway, String path, String id, String... headers)
            throws Exception {
        return requestWithBody(gateway, path, id, BODY, headers);
    }

    /** Requests a stream with a body; further headers are pairs of names and values. */
    Received requestWithBody(
            TestGateway gateway, String path, String id, String body, String... headers)
            throws Exception {
        HttpRequest.Builder request =
                gateway.calls()
                        .request(path)
                        .header("X-Boragethread-Request-Id", id)
                        .header("Authorization", KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return receive(mClient.send(request.build(), BodyHandlers.ofInputStream()));
    }

    /** Takes up a stream after the last event received, as a new attempt. */
    Received takeUp(TestGateway gateway, String path, String id, String firstId, Received received)
            throws Exception {
        return request(
                gateway, path, id, "Resumes", firstId, "Last-Event-Id", received.lastEventId());
    }

    private static Received receive(HttpResponse<InputStream> response) {
        List<String> lines = new ArrayList<>();
        boolean complete = true;
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.US_ASCII))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lines.add(line);
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Received(response.statusCode(), String.join("\n", lines), complete);
    }
}
