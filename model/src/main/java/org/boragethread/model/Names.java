package org.boragethread.model;

import java.util.regex.Pattern;

/** Checks the form of identifiers that operators choose. */
public final class Names {

    /** Greatest length of an identifier, in characters. */
    public static final int MAX_LENGTH = 64;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Names() {}

    /**
     * Accepts a well-formed identifier.
     *
     * @param kind the name of the identified kind, for the error message
     * @throws IllegalArgumentException if the value is missing, too long or has other characters
     */
    public static void check(String kind, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    "%s %s is not valid: use 1 to %d letters, digits, '.', '_' or '-'"
                            .formatted(
                                    kind,
                                    value == null ? "(missing)" : "\"" + value + "\"",
                                    MAX_LENGTH));
        }
    }

    /** Tells whether a value may serve as an identifier. */
    public static boolean isValid(String value) {
        return value != null && value.length() <= MAX_LENGTH && ALLOWED.matcher(value).matches();
    }
}
