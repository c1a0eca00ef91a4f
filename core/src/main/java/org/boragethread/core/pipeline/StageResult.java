package org.boragethread.core.pipeline;

import java.util.Optional;
import org.boragethread.model.claim.ClaimOutcome;

/**
 * Complete result of a stage.
 *
 * @param status HTTP status of the upstream
 * @param contentType media type of the body
 * @param body result body, empty if it was streamed to the caller
 * @param isStreamed whether the result was streamed to the caller
 */
record StageResult(int status, String contentType, byte[] body, boolean isStreamed) {

    private static final int OK = 200;
    private static final int REDIRECT = 300;

    /** Returns the response to record for the claim; the body of a stream is not stored. */
    ClaimOutcome toClaimOutcome() {
        Optional<byte[]> storedBody = isStreamed ? Optional.empty() : Optional.of(body);
        return new ClaimOutcome(status, contentType, storedBody);
    }

    /** Returns whether the result can be passed to the next stage. */
    boolean isSuccess() {
        return status >= OK && status < REDIRECT;
    }
}
