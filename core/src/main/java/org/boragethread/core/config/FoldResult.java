package org.boragethread.core.config;

import java.util.Objects;
import org.boragethread.model.config.Configuration;

/**
 * Result of applying one record.
 *
 * @param configuration the next configuration, whose revision is the record's offset
 * @param verdict outcome of the record
 */
public record FoldResult(Configuration configuration, Verdict verdict) {

    public FoldResult {
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(verdict, "verdict");
    }
}
