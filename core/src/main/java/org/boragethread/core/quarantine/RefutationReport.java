package org.boragethread.core.quarantine;

import java.time.Instant;
import java.util.Set;

/**
 * Crashes that a suspect did not cause, since an upstream completed a response to it that began
 * when they were known.
 *
 * @param suspect the suspect
 * @param reporter name of the process that received the response
 * @param time time of the report
 * @param crashes identifiers of the crashes
 */
public record RefutationReport(
        Suspect suspect, String reporter, Instant time, Set<String> crashes) {

    public RefutationReport {
        crashes = Set.copyOf(crashes);
    }
}
