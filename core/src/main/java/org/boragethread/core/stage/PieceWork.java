package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;

/**
 * One piece of a stage to be made.
 *
 * @param requestId identity of the request that needs it
 * @param stage number of the stage in its route
 * @param number number of the piece in its stage
 * @param deadlineNanos monotonic time after which the result is of no use
 * @param key the caller's key of the work, for stages that need no results
 * @param resultBytes approximate size of the result, in bytes
 * @param inputs handles of the results that the stage needs; empty for stages that need none
 */
public record PieceWork(
        String requestId,
        int stage,
        int number,
        long deadlineNanos,
        String key,
        long resultBytes,
        Optional<List<String>> inputs) {}
