package org.boragethread.core.time;

import java.time.Clock;
import java.time.Instant;

/** The clocks of the operating system. */
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
