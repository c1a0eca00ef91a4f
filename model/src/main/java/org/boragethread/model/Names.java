package org.boragethread.model;

/** Checks the form of identifiers that operators choose. */
public final class Names {

    /** Greatest length of an identifier, in characters. */
    public static final int MAX_LENGTH = 64;

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
