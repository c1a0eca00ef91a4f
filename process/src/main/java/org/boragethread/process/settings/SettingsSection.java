package org.boragethread.process.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;

/** One section of a settings file. */
public final class SettingsSection {

    private static final Pattern IP_AND_PORT =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65535;
    private static final int MAX_OCTET = 255;

    private final SettingsReader mReader;
    private final String mName;
    private final JsonNode mNode;
    private final Set<String> mKnownKeys = new TreeSet<>();

    SettingsSection(SettingsReader reader, String name, JsonNode node) {
        mReader = reader;
        mName = name;
        mNode = node;
    }

    /**
     * Returns a required string; if it is missing, records a problem and returns an empty string.
     */
    public String string(String key) {
        JsonNode node = node(key);
        if (!node.isTextual() || node.textValue().isBlank()) {
            problem(key, "set it to a string in quotes");
            return "";
        }
        return node.textValue();
    }

    /** Returns a string, or the default if the key is missing. */
    public String string(String key, String defaultValue) {
        return node(key).isMissingNode() ? defaultValue : string(key);
    }

    /**
     * Returns a value that is created from a required string.
     *
     * @param constructor creates the value; throws an IllegalArgumentException whose message is the
     *     remedy if the string is invalid
     * @param placeholder value to return if a problem was recorded
     */
    public <T> T value(String key, Function<String, T> constructor, T placeholder) {
        String text = string(key);
        if (text.isEmpty()) {
            return placeholder;
        }
        try {
            return constructor.apply(text);
        } catch (IllegalArgumentException e) {
            problem(key, e.getMessage());
            return placeholder;
        }
    }

    /** Returns a required address in the form IP:port. */
    public InetSocketAddress address(String key) {
        String text = string(key);
        Optional<InetSocketAddress> address = parseAddress(text);
        if (address.isEmpty() && !text.isEmpty()) {
            problem(key, "write an IP number and a port, such as \"127.0.0.1:7001\"");
        }
        return address.orElseGet(() -> InetSocketAddress.createUnresolved("0.0.0.0", 0));
    }

    /** Returns an address in the form IP:port, or empty if the key is missing. */
    public Optional<InetSocketAddress> optionalAddress(String key) {
        return node(key).isMissingNode() ? Optional.empty() : Optional.of(address(key));
    }

    private static Optional<InetSocketAddress> parseAddress(String text) {
        var match = IP_AND_PORT.matcher(text);
        if (!match.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(match.group(2));
        String host = match.group(1);
        boolean hasInvalidOctet =
                !host.startsWith("[")
                        && Arrays.stream(host.split("\\."))
                                .anyMatch(octet -> Integer.parseInt(octet) > MAX_OCTET);
        if (port > MAX_PORT || hasInvalidOctet) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(host, port));
    }

    /** Returns an integer in a range, or the default if the key is missing or invalid. */
    public int integer(String key, int defaultValue, int min, int max) {
        JsonNode node = node(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.canConvertToExactIntegral() || node.longValue() < min || node.longValue() > max) {
            problem(key, "write an integer from %d to %d".formatted(min, max));
            return defaultValue;
        }
        return node.intValue();
    }

    /** Returns a number in a range, or the default if the key is missing or invalid. */
    public double number(String key, double defaultValue, double min, double max) {
        JsonNode node = node(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isNumber() || node.doubleValue() < min || node.doubleValue() > max) {
            problem(key, "write a number from %s to %s".formatted(min, max));
            return defaultValue;
        }
        return node.doubleValue();
    }

    /** Returns all keys and values of a section whose values are strings. */
    public Map<String, String> strings() {
        Map<String, String> texts = new TreeMap<>();
        mNode.fieldNames().forEachRemaining(key -> texts.put(key, string(key)));
        return texts;
    }

    /** Returns a boolean, or the default if the key is missing or invalid. */
    public boolean bool(String key, boolean defaultValue) {
        JsonNode node = node(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isBoolean()) {
            problem(key, "write true or false, without quotes");
            return defaultValue;
        }
        return node.booleanValue();
    }

    /** Returns a duration in milliseconds, or the default if the key is missing or invalid. */
    public Duration millis(String key, Duration defaultValue, Duration min, Duration max) {
        int millis =
                integer(
                        key,
                        (int) defaultValue.toMillis(),
                        (int) min.toMillis(),
                        (int) max.toMillis());
        return Duration.ofMillis(millis);
    }

    /**
     * Returns an enum constant, which is written in lower case with hyphens, or the default if the
     * key is missing or invalid.
     */
    public <E extends Enum<E>> E enumConstant(String key, Class<E> type, E defaultValue) {
        JsonNode node = node(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        for (E constant : type.getEnumConstants()) {
            if (label(constant).equals(node.asText())) {
                return constant;
            }
        }
        Set<String> labels = new TreeSet<>();
        for (E constant : type.getEnumConstants()) {
            labels.add(label(constant));
        }
        problem(key, "use one of " + labels);
        return defaultValue;
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Records unknown keys as problems. Must be called after all keys were read. */
    public void reportUnknownKeys() {
        Iterator<String> names = mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!mKnownKeys.contains(name)) {
                problem(name, "remove it; known keys are " + mKnownKeys);
            }
        }
    }

    private JsonNode node(String key) {
        mKnownKeys.add(key);
        return mNode.path(key);
    }

    private void problem(String key, String remedy) {
        JsonNode node = mNode.path(key);
        mReader.addProblem(mName + "." + key, node.isMissingNode() ? "" : node.toString(), remedy);
    }
}
