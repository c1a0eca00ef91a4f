package org.boragethread.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A whole HTTP answer.
 *
 * @param status HTTP status
 * @param contentType value of {@code Content-Type}
 * @param headers further headers
 * @param body bytes of the body
 */
public record Answer(int status, String contentType, Map<String, String> headers, byte[] body) {

    private static final String JSON = "application/json";

    /** Makes an answer with a plain-text body. */
    public static Answer text(int status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return new Answer(status, "text/plain; charset=utf-8", Map.of(), body);
    }

    /**
     * Makes an answer whose body is a value in JSON.
     *
     * @throws IllegalArgumentException if the value cannot be written as JSON
     */
    public static Answer json(int status, Object value) {
        return jsonBytes(status, Json.write(value));
    }

    /** Makes an answer whose body is JSON already. */
    public static Answer jsonBytes(int status, byte[] body) {
        return new Answer(status, JSON, Map.of(), body);
    }

    /** Returns this answer with one more header. */
    public Answer with(String name, String value) {
        Map<String, String> headers = new TreeMap<>(this.headers);
        headers.put(name, value);
        return new Answer(status, contentType, Map.copyOf(headers), body);
    }
}
