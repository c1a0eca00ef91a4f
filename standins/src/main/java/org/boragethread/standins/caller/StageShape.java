package org.boragethread.standins.caller;

/**
 * What a checker needs to know of a stage.
 *
 * @param path path of the stage
 * @param tokens tokens of an engine's stream, or 0 for a plain stage
 * @param resultBytes least size of a plain result, in bytes
 */
public record StageShape(String path, int tokens, int resultBytes) {

    /** Returns the shape of a plain stage. */
    public static StageShape plain(String path) {
        return new StageShape(path, 0, 0);
    }

    /** Returns the shape of an engine's stage. */
    public static StageShape engine(String path, int tokens) {
        return new StageShape(path, tokens, 0);
    }
}
