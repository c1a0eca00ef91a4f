package org.boragethread.core.stage;

import java.util.Optional;

/**
 * The outcome of one piece, as reported by the upstream.
 *
 * @param handle handle of the stored result, if the piece succeeded
 * @param failure reason of the failure, if the piece failed
 */
public record PieceResult(Optional<String> handle, Optional<Failure> failure) {

    /** Why an upstream did not complete a piece. */
    public enum Failure {
        /** The deadline passed before the work started. */
        DEADLINE_EXCEEDED,
        /** An input result no longer exists. */
        INPUT_MISSING,
        /** The upstream's result memory is full. */
        OUT_OF_MEMORY,
        /** The work failed. */
        ERROR
    }

    /** Returns the outcome of a piece that succeeded. */
    public static PieceResult completed(String handle) {
        return new PieceResult(Optional.of(handle), Optional.empty());
    }

    /** Returns the outcome of a piece that failed. */
    public static PieceResult failed(Failure failure) {
        return new PieceResult(Optional.empty(), Optional.of(failure));
    }

    /** Returns whether the piece failed for the given reason. */
    public boolean isFailure(Failure reason) {
        return failure.isPresent() && failure.get() == reason;
    }
}
