package org.boragethread.standins.upstream;

/** Outcome of an accepted call. */
enum Ending {
    GOOD,
    FAILED,
    CANCELLED
}
