package org.boragethread.core.stage;

import java.util.Optional;

/**
 * What an upstream says of one piece.
 *
 * @param handle where the result lies, if it was made
 * @param failure why there is none
 */
public record PieceResult(Optional<String> handle, Optional<Failure> failure) {

    /** Why an upstream did not make a piece. */
    public enum Failure {
        /** The remaining time was over before the work began. */
        DEADLINE_EXCEEDED,
        /** A result that the piece needs no longer exists. */
        INPUT_MISSING,
        /** The memory for results is full. */
        OUT_OF_MEMORY,
        /** The work failed. */
        ERROR
    }

    /** A result that was made. */
    public static PieceResult made(String handle) {
        return new PieceResult(Optional.of(handle), Optional.empty());
    }

    /** A piece that was not made. */
    public static PieceResult failed(Failure failure) {
        return new PieceResult(Optional.empty(), Optional.of(failure));
    }

    /** Tells whether the piece was not made for the given reason. */
    public boolean isFailure(Failure reason) {
        return failure.isPresent() && failure.get() == reason;
    }
}
