package org.boragethread.core.claim;

/** Result of applying one record to a {@link ClaimStateMachine}. */
public sealed interface ClaimApplyResult {

    /**
     * The claim holds the key; its entry may run the call.
     *
     * @param claim state of the key
     */
    record Won(ClaimView claim) implements ClaimApplyResult {}

    /**
     * Another claim holds the key, or it is uncertain whether one does.
     *
     * @param holder state of the key
     */
    record Lost(ClaimView holder) implements ClaimApplyResult {}

    /**
     * The key was first used by a request with a different body.
     *
     * @param holder state of the key
     */
    record KeyReused(ClaimView holder) implements ClaimApplyResult {}

    /**
     * A release, outcome, handover or unresolved record took effect.
     *
     * @param claim state of the key after the record
     */
    record Changed(ClaimView claim) implements ClaimApplyResult {}

    /** The record had no effect: it is a duplicate, outdated, or refers to no open claim. */
    record Ignored() implements ClaimApplyResult {}
}
