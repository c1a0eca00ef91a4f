package org.boragethread.core.stage;

/** Receives the outcome of pieces. */
public interface PieceListener {

    /** The piece is complete. */
    void onCompleted(PieceWork work, ResultLocation location);

    /** The piece failed and will not be retried. */
    void onFailed(PieceWork work, StageFailure failure);
}
