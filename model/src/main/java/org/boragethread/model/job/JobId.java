package org.boragethread.model.job;

import java.util.UUID;
import org.boragethread.model.Names;

/** Identifies a job; identifiers are never reused. */
public record JobId(String value) implements Comparable<JobId> {

    public JobId {
        Names.check("JobId", value);
    }

    /** Creates an identifier from a random UUID. */
    public static JobId of(UUID uuid) {
        return new JobId(uuid.toString());
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
