package org.boragethread.core.quarantine;

import java.time.Instant;
import java.util.Set;

/**
 * Crashes that a part did not cause, since an upstream completed a response to it that began when
 * they were known.
 *
 * @param part the part
 * @param reporter name of the process that received the response
 * @param time time of the report
 * @param crashes identifiers of the crashes
 */
public record RefutationReport(Suspect part, String reporter, Instant time, Set<String> crashes) {

    public RefutationReport {
        crashes = Set.copyOf(crashes);
    }
}
