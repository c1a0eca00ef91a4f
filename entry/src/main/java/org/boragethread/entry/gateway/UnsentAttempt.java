package org.boragethread.entry.gateway;

import org.boragethread.wire.http.CallFailure;

/**
 * An attempt that ended before anything was sent, because no connection could be established.
 *
 * @param startedAt monotonic time at which it began
 * @param refused whether the machine responded that no process listens at the address
 * @param expected whether the upstream was known to refuse connections and was called only because
 *     no other one was left
 */
record UnsentAttempt(long startedAt, boolean refused, boolean expected, String detail) {

    static UnsentAttempt of(CallFailure failure, long startedAt, boolean expected) {
        boolean refused = failure.kind() == CallFailure.Kind.REFUSED;
        return new UnsentAttempt(startedAt, refused, expected, failure.detail());
    }

    /** Returns whether the request has learned that an upstream is gone, and may try the next. */
    boolean isNewRefusal() {
        return refused && !expected;
    }
}
