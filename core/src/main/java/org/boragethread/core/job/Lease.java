package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.boragethread.model.place.EntryId;

/**
 * An entry's exclusive, time-limited right to run a job.
 *
 * @param fence fencing number: the offset of the record that acquired the lease, so that a later
 *     lease has a greater one
 * @param holder the entry
 * @param untilMillis log time from which another entry may acquire a lease of the job, in
 *     milliseconds since the Unix epoch
 */
public record Lease(
        @JsonProperty("f") long fence,
        @JsonProperty("e") EntryId holder,
        @JsonProperty("u") long untilMillis) {

    public Lease {
        Objects.requireNonNull(holder, "holder");
    }
}
