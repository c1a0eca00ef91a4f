package org.boragethread.core.quarantine;

import java.time.Duration;

/**
 * Why a suspect is not sent to upstreams.
 *
 * @param suspect the suspect
 * @param crashes number of crashes under it; 0 if an operator blocked it
 * @param firstReporter process that reported the first of the crashes; empty if an operator blocked
 *     it
 * @param age time since the last of the crashes
 * @param remaining time until the suspect may be tried again
 */
public record QuarantineBlock(
        Suspect suspect, int crashes, String firstReporter, Duration age, Duration remaining) {}
