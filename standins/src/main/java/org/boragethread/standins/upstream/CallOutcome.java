package org.boragethread.standins.upstream;

/** Outcome of an accepted call. */
enum CallOutcome {
    SUCCEEDED,
    FAILED,
    CANCELLED
}
