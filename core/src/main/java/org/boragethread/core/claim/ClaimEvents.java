package org.boragethread.core.claim;

import io.vavr.control.Either;
import org.boragethread.model.outcome.Refusal;

/** Receives claim events for metrics. Called from any thread; implementations must not block. */
public interface ClaimEvents {

    /** Ignores all events. */
    ClaimEvents NONE = decision -> {};

    /** Called when a claim attempt ends with a decision or a refusal. */
    void decided(Either<Refusal, ClaimDecision> decision);
}
