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

/** Reads the fields of one JSON object and reports each field that nobody asked for. */
final class Fields {

    private final JsonNode mNode;
    private final String mPath;
    private final Set<String> mKnown = new HashSet<>();

    Fields(JsonNode node, String path) {
        if (!node.isObject()) {
            throw malformed(path, "must be an object");
        }
        mNode = node;
        mPath = path;
    }

    String text(String name) {
        JsonNode value = required(name);
        if (!value.isTextual()) {
            throw malformed(at(name), "must be a text");
        }
        return value.textValue();
    }

    int integer(String name) {
        JsonNode value = required(name);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw malformed(at(name), "must be a whole number");
        }
        return value.intValue();
    }

    long longInteger(String name) {
        JsonNode value = required(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw malformed(at(name), "must be a whole number");
        }
        return value.longValue();
    }

    double number(String name) {
        JsonNode value = required(name);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw malformed(at(name), "must be a finite number");
        }
        return value.doubleValue();
    }

    boolean bool(String name) {
        JsonNode value = required(name);
        if (!value.isBoolean()) {
            throw malformed(at(name), "must be true or false");
        }
        return value.booleanValue();
    }

    boolean boolOr(String name, boolean absent) {
        if (!mNode.has(name)) {
            mKnown.add(name);
            return absent;
        }
        return bool(name);
    }

    Duration millis(String name) {
        return Duration.ofMillis(longInteger(name));
    }

    <E extends Enum<E>> E label(String name, Class<E> type) {
        String text = text(name);
        for (E constant : type.getEnumConstants()) {
            if (labelOf(constant).equals(text)) {
                return constant;
            }
        }
        throw malformed(at(name), "\"%s\" is not one of %s".formatted(text, labelsOf(type)));
    }

    Fields object(String name) {
        return new Fields(required(name), at(name));
    }

    /** Reads an array of objects; the reader of each element need not call {@link #finish}. */
    <T> List<T> objects(String name, Function<Fields, T> reader) {
        JsonNode array = array(name);
        List<T> result = new ArrayList<>(array.size());
        for (int i = 0; i < array.size(); i++) {
            Fields element = new Fields(array.get(i), "%s[%d]".formatted(at(name), i));
            result.add(element.read(reader));
        }
        return result;
    }

    List<String> texts(String name) {
        JsonNode array = array(name);
        List<String> result = new ArrayList<>(array.size());
        for (JsonNode element : array) {
            if (!element.isTextual()) {
                throw malformed(at(name), "must be a list of texts");
            }
            result.add(element.textValue());
        }
        return result;
    }

    /** Reads this object whole: unknown fields and values out of range are errors. */
    <T> T read(Function<Fields, T> reader) {
        T value;
        try {
            value = reader.apply(this);
        } catch (IllegalArgumentException e) {
            throw malformed(mPath, e.getMessage());
        }
        finish();
        return value;
    }

    private void finish() {
        Iterator<String> names = mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!mKnown.contains(name)) {
                throw new DocumentException(
                        ConfigError.Kind.UNKNOWN_FIELD,
                        "field %s is not known; known here are %s"
                                .formatted(at(name), mKnown.stream().sorted().toList()));
            }
        }
    }

    private JsonNode array(String name) {
        JsonNode value = required(name);
        if (!value.isArray()) {
            throw malformed(at(name), "must be a list");
        }
        return value;
    }

    private JsonNode required(String name) {
        mKnown.add(name);
        JsonNode value = mNode.get(name);
        if (value == null || value.isNull()) {
            throw malformed(at(name), "is missing");
        }
        return value;
    }

    private String at(String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }

    static <E extends Enum<E>> String labelOf(E constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <E extends Enum<E>> List<String> labelsOf(Class<E> type) {
        return List.of(type.getEnumConstants()).stream().map(Fields::labelOf).toList();
    }

    private static DocumentException malformed(String path, String detail) {
        String place = path.isEmpty() ? "document" : path;
        return new DocumentException(ConfigError.Kind.MALFORMED, place + " " + detail);
    }
}
