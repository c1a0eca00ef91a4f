package org.boragethread.model;

/** Validates the form of identifiers. */
public final class Names {

    /** Maximum length of an identifier, in characters. */
    public static final int MAX_LENGTH = 64;

    private Names() {}

    /**
     * Checks that an identifier is well-formed.
     *
     * @param kind kind of the identified object, for the error message
     * @throws IllegalArgumentException if the value is missing, too long or contains other
     *     characters
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

    /** Returns whether a value is a well-formed identifier. */
    public static boolean isValid(String value) {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            return false;
        }
        if (!isLetterOrDigit(value.charAt(0))) {
            return false;
        }
        for (int i = 1; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAllowed(char c) {
        return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }
}
