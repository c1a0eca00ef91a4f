package org.boragethread.entry.operator;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Status of an entry and its upstreams, for operators.
 *
 * @param entry name of the entry
 * @param dataCentre data centre of the entry
 * @param revision configuration revision in effect at the entry
 * @param configAges ages of the configuration and of its newest snapshot in the log
 * @param ready {@code yes} if the entry accepts new requests, otherwise the reason why not
 * @param requests requests in progress
 * @param dataCentres service state by data centre
 * @param pipelines names of the pipelines
 * @param teams number of teams
 * @param kept claims and jobs that have not ended
 * @param upstreams connected upstreams
 */
public record StatusReport(
        String entry,
        String dataCentre,
        long revision,
        ConfigAges configAges,
        String ready,
        int requests,
        Map<String, String> dataCentres,
        List<String> pipelines,
        int teams,
        UnfinishedWork kept,
        List<UpstreamStatus> upstreams) {

    /**
     * Ages of the configuration and of its newest snapshot in the log.
     *
     * @param stalenessMs time since the log was last read to its end, in milliseconds, or -1 if it
     *     never was
     * @param snapshotAgeMs age of the newest snapshot in the log, in milliseconds, or -1 if none
     *     was seen
     */
    public record ConfigAges(long stalenessMs, long snapshotAgeMs) {

        /** Value of an unknown age. */
        public static final long NEVER = -1;

        /** Converts ages, which may be unknown, to milliseconds. */
        public static ConfigAges of(Optional<Duration> staleness, Optional<Duration> snapshotAge) {
            return new ConfigAges(
                    staleness.map(Duration::toMillis).orElse(NEVER),
                    snapshotAge.map(Duration::toMillis).orElse(NEVER));
        }
    }

    /**
     * Claims and jobs that have not ended.
     *
     * @param openClaims claims of all entries that have no outcome
     * @param unsavedClaims outcomes and releases of this entry that are not yet in the log
     * @param unfinishedJobs jobs of all entries that have not ended
     * @param heldJobs jobs that must be settled by an operator
     * @param jobsHere jobs running on this entry
     */
    public record UnfinishedWork(
            int openClaims, int unsavedClaims, int unfinishedJobs, int heldJobs, int jobsHere) {}

    /**
     * One connected upstream.
     *
     * @param upstream name of the upstream
     * @param group its group
     * @param dataCentre its data centre
     * @param state serving, cold, leaving or out
     * @param inFlight calls that it is processing
     * @param limit maximum number of concurrent calls that its agent admits
     * @param queued calls queued at its agent
     * @param sent unfinished calls sent by this entry
     * @param loadAgeMs age of the reported load, in milliseconds
     */
    public record UpstreamStatus(
            String upstream,
            String group,
            String dataCentre,
            String state,
            int inFlight,
            int limit,
            int queued,
            int sent,
            long loadAgeMs) {}
}
