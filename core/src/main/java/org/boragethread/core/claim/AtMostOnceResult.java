package org.boragethread.core.claim;

import java.util.Objects;
import org.boragethread.model.claim.ClaimOutcome;

/**
 * The result of an {@link AtMostOnceCall}.
 *
 * @param outcome outcome of the call; its body is empty if it is replayed and was too large to keep
 * @param isReplayed whether the call ran for an earlier request with the same key
 */
public record AtMostOnceResult(ClaimOutcome outcome, boolean isReplayed) {

    public AtMostOnceResult {
        Objects.requireNonNull(outcome, "outcome");
    }
}
