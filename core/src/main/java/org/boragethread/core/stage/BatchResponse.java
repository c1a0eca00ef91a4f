package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;

/**
 * The response to a batch call.
 *
 * @param results one outcome for each piece, in the order of the call
 * @param queuedCalls calls queued at the upstream when it responded, if it reports them
 */
public record BatchResponse(List<PieceResult> results, Optional<Integer> queuedCalls) {}
