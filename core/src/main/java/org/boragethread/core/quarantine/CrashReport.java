package org.boragethread.core.quarantine;

import java.time.Instant;
import java.util.Map;
import java.util.Set;

/**
 * What one process saw of the crash of an upstream.
 *
 * @param crash identifier of the crash: the upstream and its start time
 * @param reporter name of the process
 * @param time time of the crash
 * @param precedents the suspects of the requests that the crash broke off; for each the crashes
 *     under it that were known when its request was sent
 */
public record CrashReport(
        String crash, String reporter, Instant time, Map<Suspect, Set<String>> precedents) {

    public CrashReport {
        precedents = Map.copyOf(precedents);
    }
}
