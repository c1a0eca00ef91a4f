package org.boragethread.entry.rollout;

import org.boragethread.core.rollout.EntryReport;

/** Sends reports on roll-outs to other entries. */
public interface RolloutPeers {

    /**
     * Sends a report.
     *
     * @param peer address of the entry
     * @param onFailure called once if the entry did not confirm the report in time
     */
    void send(String peer, EntryReport report, Runnable onFailure);

    /**
     * Finds out whether an entry responds.
     *
     * @param onFailure called once if it did not in time
     */
    void probe(String peer, Runnable onFailure);
}
