package org.boragethread.core.selection;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Baseline for comparison: chooses candidates in turn, regardless of load and distance. */
public final class RoundRobinSelector implements Selector {

    private final AtomicInteger mNext = new AtomicInteger();

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
        int start = mNext.getAndIncrement();
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(Math.floorMod(start + i, candidates.size()));
            if (!request.excluded().contains(candidate.upstream())) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
