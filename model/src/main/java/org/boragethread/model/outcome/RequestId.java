package org.boragethread.model.outcome;

import java.util.UUID;

/** Identifies one request of a caller in all processes and logs. */
public record RequestId(long high, long low) {

    /** Creates an identifier from a random UUID. */
    public static RequestId of(UUID uuid) {
        return new RequestId(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
