package org.boragethread.standins.platform;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;

/** A clock whose time changes only through {@link #advance}. */
final class ManualClock extends Clock {

    private final AtomicLong mMillis = new AtomicLong(1_000_000);

    void advance(long millis) {
        mMillis.addAndGet(millis);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(mMillis.get());
    }
}
