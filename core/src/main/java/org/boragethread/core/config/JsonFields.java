package org.boragethread.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

/** Reads the fields of one JSON object and rejects fields that no reader has requested. */
final class JsonFields {

    private final JsonNode mNode;
    private final String mPath;
    private final Set<String> mRequested = new HashSet<>();

    JsonFields(JsonNode node, String path) {
        if (!node.isObject()) {
            throw malformed(path, "must be an object");
        }
        mNode = node;
        mPath = path;
    }

    String string(String name) {
        JsonNode value = required(name);
        if (!value.isTextual()) {
            throw malformed(pathOf(name), "must be a string");
        }
        return value.textValue();
    }

    int integer(String name) {
        JsonNode value = required(name);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw malformed(pathOf(name), "must be an integer");
        }
        return value.intValue();
    }

    long longInteger(String name) {
        JsonNode value = required(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw malformed(pathOf(name), "must be an integer");
        }
        return value.longValue();
    }

    double number(String name) {
        JsonNode value = required(name);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw malformed(pathOf(name), "must be a finite number");
        }
        return value.doubleValue();
    }

    boolean bool(String name) {
        JsonNode value = required(name);
        if (!value.isBoolean()) {
            throw malformed(pathOf(name), "must be true or false");
        }
        return value.booleanValue();
    }

    boolean boolOrDefault(String name, boolean defaultValue) {
        if (!mNode.has(name)) {
            mRequested.add(name);
            return defaultValue;
        }
        return bool(name);
    }

    Duration durationMillis(String name) {
        return Duration.ofMillis(longInteger(name));
    }

    <E extends Enum<E>> E enumValue(String name, Class<E> type) {
        String text = string(name);
        for (E constant : type.getEnumConstants()) {
            if (enumLabel(constant).equals(text)) {
                return constant;
            }
        }
        throw malformed(pathOf(name), "\"%s\" is not one of %s".formatted(text, enumLabels(type)));
    }

    JsonFields object(String name) {
        return new JsonFields(required(name), pathOf(name));
    }

    /** Reads an array of objects; unknown fields of each element are rejected as well. */
    <T> List<T> objects(String name, Function<JsonFields, T> reader) {
        JsonNode array = array(name);
        List<T> result = new ArrayList<>(array.size());
        for (int i = 0; i < array.size(); i++) {
            JsonFields element = new JsonFields(array.get(i), "%s[%d]".formatted(pathOf(name), i));
            result.add(element.read(reader));
        }
        return result;
    }

    List<String> strings(String name) {
        JsonNode array = array(name);
        List<String> result = new ArrayList<>(array.size());
        for (JsonNode element : array) {
            if (!element.isTextual()) {
                throw malformed(pathOf(name), "must be an array of strings");
            }
            result.add(element.textValue());
        }
        return result;
    }

    /** Reads the complete object; unknown fields and values out of range are errors. */
    <T> T read(Function<JsonFields, T> reader) {
        T value;
        try {
            value = reader.apply(this);
        } catch (IllegalArgumentException e) {
            throw malformed(mPath, e.getMessage());
        }
        rejectUnknownFields();
        return value;
    }

    private void rejectUnknownFields() {
        Iterator<String> names = mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!mRequested.contains(name)) {
                throw new InvalidDocumentException(
                        ConfigError.Kind.UNKNOWN_FIELD,
                        "unknown field %s; known fields are %s"
                                .formatted(pathOf(name), mRequested.stream().sorted().toList()));
            }
        }
    }

    private JsonNode array(String name) {
        JsonNode value = required(name);
        if (!value.isArray()) {
            throw malformed(pathOf(name), "must be an array");
        }
        return value;
    }

    private JsonNode required(String name) {
        mRequested.add(name);
        JsonNode value = mNode.get(name);
        if (value == null || value.isNull()) {
            throw malformed(pathOf(name), "is missing");
        }
        return value;
    }

    private String pathOf(String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }

    static <E extends Enum<E>> String enumLabel(E constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <E extends Enum<E>> List<String> enumLabels(Class<E> type) {
        return List.of(type.getEnumConstants()).stream().map(JsonFields::enumLabel).toList();
    }

    private static InvalidDocumentException malformed(String path, String detail) {
        String place = path.isEmpty() ? "document" : path;
        return new InvalidDocumentException(ConfigError.Kind.MALFORMED, place + " " + detail);
    }
}
