package org.boragethread.core.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.boragethread.model.place.EntryId;

/**
 * An entry's right to run a job.
 *
 * @param fence offset of the record that took the job; a later lease has a greater one
 * @param holder the entry
 * @param untilMillis log time from which another entry may take the job, in milliseconds since 1970
 */
public record Lease(
        @JsonProperty("f") long fence,
        @JsonProperty("e") EntryId holder,
        @JsonProperty("u") long untilMillis) {

    public Lease {
        Objects.requireNonNull(holder, "holder");
    }
}
