package org.boragethread.process.settings;

import java.util.Objects;

/**
 * A problem found in a settings file.
 *
 * @param file the file
 * @param key section and key, or empty if the problem concerns the whole file
 * @param value the invalid value, or empty
 * @param remedy how to correct the problem
 */
public record SettingsProblem(String file, String key, String value, String remedy) {

    public SettingsProblem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(remedy, "remedy");
    }

    @Override
    public String toString() {
        String location = key.isEmpty() ? file : file + ": " + key;
        return value.isEmpty()
                ? "%s: %s".formatted(location, remedy)
                : "%s = %s: %s".formatted(location, value, remedy);
    }
}
