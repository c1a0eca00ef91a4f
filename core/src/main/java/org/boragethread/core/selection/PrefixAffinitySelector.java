package org.boragethread.core.selection;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses in the nearest data centre with room; there by rendezvous hash of the prompt's prefix
 * with bounded load, so that prompts with the same prefix meet the engine that has cached it.
 */
public final class PrefixAffinitySelector implements Selector {

    /** Load of the preferred engine, as a multiple of the mean, at which the next one is taken. */
    public static final double DEFAULT_LOAD_FACTOR = 1.25;

    private final CandidateChooser mChooser;

    /** Makes a selector with the default load factor. */
    public PrefixAffinitySelector(RelativeLatencies latencies) {
        this(DEFAULT_LOAD_FACTOR, latencies);
    }

    /**
     * Makes a selector.
     *
     * @param loadFactor greatest load of the preferred engine as a multiple of the mean, above 1
     * @param latencies observed latencies of the group's upstreams
     */
    public PrefixAffinitySelector(double loadFactor, RelativeLatencies latencies) {
        if (!(loadFactor > 1)) {
            throw new IllegalArgumentException(
                    "loadFactor %s must be above 1".formatted(loadFactor));
        }
        mChooser = new RendezvousChooser(loadFactor, Objects.requireNonNull(latencies, "latencies"));
    }

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
        return NearestTierSelection.choose(request, candidates, mChooser);
    }
}
