package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;

/**
 * The answer to a call that made pieces.
 *
 * @param results one result for each piece, in the order of the call
 * @param waiting calls that waited at the upstream when it answered, if it says so
 */
public record BatchAnswer(List<PieceResult> results, Optional<Integer> waiting) {}
