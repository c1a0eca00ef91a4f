package org.boragethread.core.selection;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses an engine in the nearest locality tier with capacity. Within the tier it applies
 * rendezvous hashing with bounded loads to the prefix of the prompt, so that prompts with the same
 * prefix reach an engine that has cached it.
 */
public final class PrefixAffinitySelector implements Selector {

    /** Default load, as a multiple of the mean, above which the preferred engine is passed over. */
    public static final double DEFAULT_LOAD_FACTOR = 1.25;

    private final CandidateChooser mChooser;

    /** Creates a selector with the default load factor. */
    public PrefixAffinitySelector(RelativeLatencies latencies) {
        this(DEFAULT_LOAD_FACTOR, latencies);
    }

    /**
     * Creates a selector.
     *
     * @param loadFactor maximum load of the preferred engine as a multiple of the mean, above 1
     * @param latencies observed latencies of the upstreams of the group
     */
    public PrefixAffinitySelector(double loadFactor, RelativeLatencies latencies) {
        if (!(loadFactor > 1)) {
            throw new IllegalArgumentException(
                    "loadFactor %s must be above 1".formatted(loadFactor));
        }
        mChooser =
                new RendezvousChooser(loadFactor, Objects.requireNonNull(latencies, "latencies"));
    }

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
        return NearestTierSelection.choose(request, candidates, mChooser);
    }
}
