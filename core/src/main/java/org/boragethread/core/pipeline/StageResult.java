package org.boragethread.core.pipeline;

import java.util.Optional;
import org.boragethread.model.claim.ClaimOutcome;

/**
 * The whole result of a stage.
 *
 * @param status HTTP status of the upstream
 * @param contentType media type of the body
 * @param body the body, empty if the events were passed to the caller as they came
 * @param isStreamed whether the events were passed to the caller as they came
 */
record StageResult(int status, String contentType, byte[] body, boolean isStreamed) {

    private static final int OK = 200;
    private static final int REDIRECT = 300;

    /** Returns the answer to record; the events of a stream are not kept. */
    ClaimOutcome toOutcome() {
        Optional<byte[]> kept = isStreamed ? Optional.empty() : Optional.of(body);
        return new ClaimOutcome(status, contentType, kept);
    }

    /** Tells whether the next stage may use the result. */
    boolean isGood() {
        return status >= OK && status < REDIRECT;
    }
}
