package org.boragethread.core.selection;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses in the nearest data centre with room: the own one, then the region, then elsewhere; there
 * by power of two choices on expected delay.
 */
public final class LocalitySelector implements Selector {

    private final RingChooser mChooser;

    /**
     * Makes a selector that takes all upstreams to be equally fast.
     *
     * @param random source of choices; the selector locks it while it draws
     */
    public LocalitySelector(RandomGenerator random) {
        this(random, LatencyView.EVEN);
    }

    /**
     * Makes a selector.
     *
     * @param random source of choices; the selector locks it while it draws
     * @param latencies observed latencies of the group's upstreams
     */
    public LocalitySelector(RandomGenerator random, LatencyView latencies) {
        mChooser =
                new TwoChoices(
                        Objects.requireNonNull(random, "random"),
                        Objects.requireNonNull(latencies, "latencies"));
    }

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
        return RingWalk.choose(request, candidates, mChooser);
    }
}
