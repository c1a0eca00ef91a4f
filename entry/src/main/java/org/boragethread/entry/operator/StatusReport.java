package org.boragethread.entry.operator;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What an entry knows, for operators.
 *
 * @param entry name of the entry
 * @param dataCentre data centre of the entry
 * @param revision configuration revision in force at the entry
 * @param configAges how current the configuration and its snapshot in the log are
 * @param ready whether the entry takes new requests, or why it does not
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
     * How current the configuration and its snapshot in the log are.
     *
     * @param stalenessMs time since the log had been read to its end, in milliseconds, or -1 if it
     *     never had been
     * @param snapshotAgeMs age of the newest snapshot in the log, in milliseconds, or -1 if none
     *     was seen
     */
    public record ConfigAges(long stalenessMs, long snapshotAgeMs) {

        /** Value of a time that is not known. */
        public static final long NEVER = -1;

        /** Makes ages from times that may be unknown. */
        public static ConfigAges of(Optional<Duration> staleness, Optional<Duration> snapshotAge) {
            return new ConfigAges(
                    staleness.map(Duration::toMillis).orElse(NEVER),
                    snapshotAge.map(Duration::toMillis).orElse(NEVER));
        }
    }

    /**
     * Claims and jobs that have not ended.
     *
     * @param openClaims claims of all entries without an outcome
     * @param unsavedClaims outcomes and releases of this entry that are not yet in the log
     * @param unfinishedJobs jobs of all entries that have not ended
     * @param heldJobs jobs that wait for an operator to settle them
     * @param jobsHere jobs that this entry runs
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
     * @param inFlight calls that it works on
     * @param limit greatest number of calls that its agent lets through
     * @param queued calls that wait at its agent
     * @param sent calls of this entry that have not ended
     * @param loadAgeMs age of these figures, in milliseconds
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
