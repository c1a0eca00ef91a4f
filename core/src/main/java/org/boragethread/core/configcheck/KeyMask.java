package org.boragethread.core.configcheck;

/** Shortens API keys for output. */
public final class KeyMask {

    private static final int SHOWN = 3;

    /** Shorter keys could be guessed from their first characters. */
    private static final int MIN_LENGTH = 12;

    private KeyMask() {}

    /** Returns the first characters of a key, or none of those of a short one. */
    public static String mask(String key) {
        return key.length() < MIN_LENGTH ? "..." : key.substring(0, SHOWN) + "...";
    }
}
