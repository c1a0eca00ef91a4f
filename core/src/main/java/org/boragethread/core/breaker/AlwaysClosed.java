package org.boragethread.core.breaker;

import java.util.Optional;

/** Baseline breaker: every call passes. */
public final class AlwaysClosed implements Breaker {

    private static final Ticket TICKET = outcome -> {};

    @Override
    public boolean isCallable() {
        return true;
    }

    @Override
    public Optional<Ticket> tryStart() {
        return Optional.of(TICKET);
    }
}
