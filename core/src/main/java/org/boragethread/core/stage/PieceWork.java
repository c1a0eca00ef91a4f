package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;

/**
 * One piece of a stage to be executed.
 *
 * @param requestId identifier of the request that needs the piece
 * @param stage index of the stage in its route
 * @param number index of the piece in its stage
 * @param deadlineNanos monotonic time after which the result is useless
 * @param key the caller's key of the work, for stages without inputs
 * @param resultBytes approximate size of the result, in bytes
 * @param inputs handles of the input results; empty for stages without inputs
 */
public record PieceWork(
        String requestId,
        int stage,
        int number,
        long deadlineNanos,
        String key,
        long resultBytes,
        Optional<List<String>> inputs) {}
