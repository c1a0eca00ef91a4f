package org.boragethread.standins.upstream;

/** How a call that was taken ended. */
enum Ending {
    GOOD,
    FAILED,
    CANCELLED
}
