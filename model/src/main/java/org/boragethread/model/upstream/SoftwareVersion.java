package org.boragethread.model.upstream;

/**
 * Version of the software that an upstream runs, not of the weights it serves. Versions can only be
 * compared for equality.
 */
public record SoftwareVersion(String value) {

    /** Maximum length of a version, in characters. */
    public static final int MAX_LENGTH = 256;

    public SoftwareVersion {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    "software version is not valid: use 1 to " + MAX_LENGTH + " characters");
        }
    }

    /** Returns whether a text can be a version. */
    public static boolean isValid(String text) {
        return !text.isBlank() && text.length() <= MAX_LENGTH;
    }

    @Override
    public String toString() {
        return value;
    }
}
