package org.boragethread.core.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * Decides the roll-outs of one group and records their states. Every entry has one for each group
 * with an order; only that of the group's coordinator is ticked. Two that decide at once are safe.
 * Not thread-safe.
 */
public final class RolloutCoordinator {

    /** Recommended time between two calls of {@link #tick}, in milliseconds. */
    public static final long TICK_MILLIS = 250;

    /** Creates a coordinator that knows nothing. */
    public RolloutCoordinator(
            GroupId group,
            TimeSource time,
            RolloutBounds bounds,
            RolloutLog log,
            RolloutEvents events) {}

    /** Replaces the valid request of the operators for the group, as of a read of all orders. */
    public void setRequest(Optional<RolloutRequest> request, ClockReading sentAt) {}

    /** Replaces the versions that upstreams of the group announce now. */
    public void setVersions(Set<SoftwareVersion> versions) {}

    /** Replaces the live entries, this one included. */
    public void setMembers(Collection<Member> members) {}

    /** Takes a report of an entry, also of this one. */
    public void onReport(EntryReport report) {}

    /** Takes a state that this entry has read. */
    public void onState(RolloutState state) {}

    /** Decides and records; to be called periodically at the coordinator of the group only. */
    public void tick() {}

    /** Returns the evidence of all reports on the latest order, for metrics. */
    public RolloutEvidence evidence() {
        return RolloutEvidence.NONE;
    }

    /** Returns the latest verdicts, for metrics. */
    public List<Verdict> verdicts() {
        return List.of();
    }
}
