package org.boragethread.entry.rollout;

import org.boragethread.core.rollout.EntryReport;

/** Sends reports on roll-outs to other entries. */
@FunctionalInterface
public interface RolloutPeers {

    /**
     * Sends a report.
     *
     * @param peer address of the entry
     * @param onFailure called once if the entry did not confirm the report in time
     */
    void send(String peer, EntryReport report, Runnable onFailure);
}
