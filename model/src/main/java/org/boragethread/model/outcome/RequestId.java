package org.boragethread.model.outcome;

import java.util.UUID;

/** Identifies one caller's request in all processes and logs. */
public record RequestId(long high, long low) {

    /** Makes an identifier from a random UUID. */
    public static RequestId of(UUID uuid) {
        return new RequestId(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
