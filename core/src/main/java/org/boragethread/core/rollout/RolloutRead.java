package org.boragethread.core.rollout;

import java.util.Optional;
import org.boragethread.core.follow.StoreEra;

/**
 * State of a group as read from the store.
 *
 * @param state recorded state; empty if there is none
 * @param end offset after the last record of the partition that was read
 * @param era copy of its records with which the store works
 */
public record RolloutRead(Optional<RolloutState> state, long end, StoreEra era) {}
