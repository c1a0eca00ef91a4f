package org.boragethread.core.time;

import java.time.Clock;
import java.time.Instant;

/** Time of the running machine. */
public final class SystemTimeSource implements TimeSource {

    private final Clock mClock = Clock.systemUTC();

    @Override
    public Instant instant() {
        return mClock.instant();
    }

    @Override
    public long millis() {
        return mClock.millis();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
