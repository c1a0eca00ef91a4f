package org.boragethread.core.breaker;

import java.util.Optional;

/** Baseline breaker: every call passes. */
public final class AlwaysClosedBreaker implements Breaker {

    private static final CallHandle TICKET = outcome -> {};

    @Override
    public boolean allowsCalls() {
        return true;
    }

    @Override
    public Optional<CallHandle> tryStartCall() {
        return Optional.of(TICKET);
    }
}
