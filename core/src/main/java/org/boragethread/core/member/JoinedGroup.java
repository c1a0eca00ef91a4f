package org.boragethread.core.member;

import java.util.Set;
import org.boragethread.core.follow.StoreEra;

/**
 * Response to a renewal of a membership.
 *
 * @param generation number that increases with each change of the members or their partitions
 * @param partitions partitions of the group that are assigned to this member, numbered from 0
 * @param era era of the store to which the generation belongs
 */
public record JoinedGroup(long generation, Set<Integer> partitions, StoreEra era) {

    public JoinedGroup {
        partitions = Set.copyOf(partitions);
    }
}
