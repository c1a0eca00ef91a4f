package org.boragethread.standins.caller;

/**
 * The properties of a stage that determine its output.
 *
 * @param path path of the stage
 * @param tokens number of tokens in an engine's stream, or 0 for a plain stage
 * @param resultBytes minimum size of a plain result, in bytes
 */
public record StageProperties(String path, int tokens, int resultBytes) {

    /** Returns the properties of a plain stage. */
    public static StageProperties plain(String path) {
        return new StageProperties(path, 0, 0);
    }

    /** Returns the properties of an engine's stage. */
    public static StageProperties engine(String path, int tokens) {
        return new StageProperties(path, tokens, 0);
    }
}
