package org.boragethread.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON mapper of the stand-ins; unknown properties are errors. */
public final class Json {

    /** Shared, thread-safe mapper. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Deserializes a value.
     *
     * @throws BadRequestException if the bytes are not valid JSON for the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new BadRequestException("body is not a " + type.getSimpleName(), e);
        }
    }

    /**
     * Serializes a value.
     *
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /**
     * Parses JSON into a tree.
     *
     * @throws BadRequestException if the bytes are not valid JSON
     */
    public static JsonNode parseTree(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new BadRequestException("body is not JSON", e);
        }
    }

    /**
     * Returns a copy of a value with some of its properties replaced.
     *
     * @param current value to start from
     * @param update JSON object that holds only the properties to replace
     * @throws BadRequestException if the update is not an object or has an unknown property
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
