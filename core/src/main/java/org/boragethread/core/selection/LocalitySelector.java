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

    private final CandidateChooser mChooser;

    /**
     * Makes a selector that takes all upstreams to be equally fast.
     *
     * @param random source of choices; the selector locks it while it draws
     */
    public LocalitySelector(RandomGenerator random) {
        this(random, RelativeLatencies.UNIFORM);
    }

    /**
     * Makes a selector.
     *
     * @param random source of choices; the selector locks it while it draws
     * @param latencies observed latencies of the group's upstreams
     */
    public LocalitySelector(RandomGenerator random, RelativeLatencies latencies) {
        mChooser =
                new PowerOfTwoChooser(
                        Objects.requireNonNull(random, "random"),
                        Objects.requireNonNull(latencies, "latencies"));
    }

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
        return NearestTierSelection.choose(request, candidates, mChooser);
    }
}
