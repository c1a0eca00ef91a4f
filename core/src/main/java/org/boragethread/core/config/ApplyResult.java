package org.boragethread.core.config;

import java.util.Objects;
import org.boragethread.model.config.Configuration;

/**
 * Result of applying one record.
 *
 * @param configuration the next configuration, whose revision is the record's offset
 * @param outcome outcome of the record
 */
public record ApplyResult(Configuration configuration, RecordOutcome outcome) {

    public ApplyResult {
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(outcome, "outcome");
    }
}
