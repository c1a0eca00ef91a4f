package org.boragethread.core.stage;

/** Learns the fate of one piece. */
public interface PieceListener {

    /** The piece was made. */
    void onMade(PieceWork work, MadePiece made);

    /** The piece will not be made. */
    void onFailed(PieceWork work, StageFailure failure);
}
