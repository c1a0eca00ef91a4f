package org.boragethread.process.settings;

import java.util.Objects;

/**
 * One thing that is wrong in a settings file.
 *
 * @param file the file
 * @param key section and key, or empty if the file as a whole is wrong
 * @param value the value found, or empty
 * @param remedy what to write instead
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
        String place = key.isEmpty() ? file : file + ": " + key;
        return value.isEmpty()
                ? "%s: %s".formatted(place, remedy)
                : "%s = %s: %s".formatted(place, value, remedy);
    }
}
