package org.boragethread.core.selection;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream in the nearest locality tier with capacity: the data centre of this process,
 * then its region, then everywhere else. Within the tier it applies power of two choices to the
 * expected delay.
 */
public final class LocalitySelector implements Selector {

    private final CandidateChooser mChooser;

    /**
     * Creates a selector that treats all upstreams as equally fast.
     *
     * @param random source of random choices; the selector locks it while it draws a number
     */
    public LocalitySelector(RandomGenerator random) {
        this(random, RelativeLatencies.UNIFORM);
    }

    /**
     * Creates a selector.
     *
     * @param random source of random choices; the selector locks it while it draws a number
     * @param latencies observed latencies of the upstreams of the group
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
