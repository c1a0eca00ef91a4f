package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.boragethread.model.routing.BatchLimits;

/** The pending pieces of one stage of one request, at least one. */
record PendingStage(List<PendingPiece> pieces) {

    /** Identifies a stage of a request among the pending ones. */
    record Key(PieceListener listener, int stage) {

        static Key of(PendingPiece piece) {
            return new Key(piece.listener(), piece.work().stage());
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key key && key.listener == listener && key.stage == stage;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(listener) + stage;
        }
    }

    /** Returns the stages of pieces in the order of their first pieces. */
    static List<PendingStage> group(List<PendingPiece> pieces) {
        Map<Key, PendingStage> stages = new LinkedHashMap<>();
        for (PendingPiece piece : pieces) {
            stages.computeIfAbsent(Key.of(piece), key -> new PendingStage(new ArrayList<>()))
                    .pieces()
                    .add(piece);
        }
        return List.copyOf(stages.values());
    }

    PendingPiece first() {
        return pieces.get(0);
    }

    Key key() {
        return Key.of(first());
    }

    /** Returns the memory that the results of the stage's next call need, in bytes. */
    long callBytes(BatchLimits limits) {
        return Math.min(pieces.size(), limits.batch()) * first().work().resultBytes();
    }
}
