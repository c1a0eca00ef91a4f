package org.boragethread.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** The JSON mapper of the stand-ins; unknown names are errors. */
public final class Json {

    /** Shared mapper; safe for use by several threads. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Reads a value.
     *
     * @throws BadRequestException if the bytes are not a value of the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new BadRequestException("body is not a " + type.getSimpleName(), e);
        }
    }

    /**
     * Writes a value.
     *
     * @throws IllegalArgumentException if the value has no JSON form
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /**
     * Reads a tree.
     *
     * @throws BadRequestException if the bytes are not JSON
     */
    public static JsonNode tree(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new BadRequestException("body is not JSON", e);
        }
    }

    /**
     * Returns a value with some of its members replaced.
     *
     * @param current value to start from
     * @param update JSON object that holds only the members to replace
     * @throws BadRequestException if the update is not an object or names an unknown member
     */
    public static <T> T merge(T current, byte[] update, Class<T> type) {
        try {
            ObjectNode merged = MAPPER.valueToTree(current);
            JsonNode changes = MAPPER.readTree(update);
            if (!(changes instanceof ObjectNode)) {
                throw new BadRequestException("body is not a JSON object", null);
            }
            merged.setAll((ObjectNode) changes);
            return MAPPER.treeToValue(merged, type);
        } catch (JsonProcessingException e) {
            throw new BadRequestException("body does not fit " + type.getSimpleName(), e);
        } catch (IOException e) {
            throw new BadRequestException("body is not JSON", e);
        }
    }
}
