package org.boragethread.core.breaker;

import java.util.Optional;

/** Baseline for comparison: a breaker that lets every call pass. */
public final class AlwaysClosedBreaker implements Breaker {

    private static final CallHandle HANDLE = outcome -> {};

    @Override
    public boolean allowsCalls() {
        return true;
    }

    @Override
    public Optional<CallHandle> tryStartCall() {
        return Optional.of(HANDLE);
    }
}
