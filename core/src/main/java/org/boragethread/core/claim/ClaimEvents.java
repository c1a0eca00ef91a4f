package org.boragethread.core.claim;

import io.vavr.control.Either;
import org.boragethread.model.outcome.Refusal;

/** Receives countable events of claims. Called from any thread; must not block. */
public interface ClaimEvents {

    /** Ignores all events. */
    ClaimEvents NONE = decision -> {};

    /** A caller's claim was decided or refused. */
    void decided(Either<Refusal, ClaimDecision> decision);
}
