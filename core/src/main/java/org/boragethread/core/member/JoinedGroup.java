package org.boragethread.core.member;

import java.util.Set;

/**
 * Response to a renewal of a membership.
 *
 * @param generation number that increases with each change of the members or their partitions
 * @param partitions partitions of the group that are assigned to this member, numbered from 0
 */
public record JoinedGroup(long generation, Set<Integer> partitions) {

    public JoinedGroup {
        partitions = Set.copyOf(partitions);
    }
}
