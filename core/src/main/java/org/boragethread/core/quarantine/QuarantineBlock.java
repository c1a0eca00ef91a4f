package org.boragethread.core.quarantine;

import java.time.Duration;

/**
 * Why a part is not sent to upstreams.
 *
 * @param part the part
 * @param crashes number of crashes under it; 0 if an operator blocked it
 * @param firstReporter process that reported the first of the crashes; empty if an operator blocked
 *     it
 * @param age time since the last of the crashes
 * @param remaining time until the part may be tried again
 */
public record QuarantineBlock(
        Suspect part, int crashes, String firstReporter, Duration age, Duration remaining) {}
