package org.boragethread.core.claim;

/** What one record did. */
public sealed interface ClaimApplyResult {

    /**
     * The claim holds; its entry may run the call.
     *
     * @param claim state of the key
     */
    record Won(ClaimView claim) implements ClaimApplyResult {}

    /**
     * Another claim holds the key, or it is not certain that none does.
     *
     * @param holder state of the key
     */
    record Lost(ClaimView holder) implements ClaimApplyResult {}

    /**
     * The key belongs to a request with another body.
     *
     * @param holder state of the key
     */
    record KeyReused(ClaimView holder) implements ClaimApplyResult {}

    /**
     * A release, outcome or handover took effect.
     *
     * @param claim state of the key after the record
     */
    record Changed(ClaimView claim) implements ClaimApplyResult {}

    /** The record has no effect: it is repeated, late or names no open claim. */
    record Ignored() implements ClaimApplyResult {}
}
