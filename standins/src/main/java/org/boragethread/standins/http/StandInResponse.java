package org.boragethread.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param contentType value of the {@code Content-Type} header
 * @param headers all other headers
 * @param body content of the body
 */
public record StandInResponse(
        int status, String contentType, Map<String, String> headers, byte[] body) {

    private static final String JSON = "application/json";

    /** Creates a response with a plain-text body. */
    public static StandInResponse text(int status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return new StandInResponse(status, "text/plain; charset=utf-8", Map.of(), body);
    }

    /**
     * Creates a response whose body is a value serialized as JSON.
     *
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    public static StandInResponse json(int status, Object value) {
        return jsonBytes(status, Json.write(value));
    }

    /** Creates a response whose body is already JSON. */
    public static StandInResponse jsonBytes(int status, byte[] body) {
        return new StandInResponse(status, JSON, Map.of(), body);
    }

    /** Returns this response with one more header. */
    public StandInResponse with(String name, String value) {
        Map<String, String> headers = new TreeMap<>(this.headers);
        headers.put(name, value);
        return new StandInResponse(status, contentType, Map.copyOf(headers), body);
    }
}
