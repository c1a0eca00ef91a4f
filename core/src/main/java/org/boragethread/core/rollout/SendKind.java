package org.boragethread.core.rollout;

/** Kind of a send to an upstream. Every kind counts as use of a version on trial. */
public enum SendKind {
    /** First attempt of a request or of a piece: the only kind that allows trials. */
    FIRST,
    /** Retry, standby attempt or resumed stream. */
    FURTHER
}
