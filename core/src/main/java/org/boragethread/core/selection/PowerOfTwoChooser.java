package org.boragethread.core.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses by the power of two choices. Two candidates are drawn with probabilities proportional to
 * their limits, so that a cold upstream receives only its share even if many processes choose on
 * the basis of the same outdated report; the one with the smaller expected delay is chosen.
 */
final class PowerOfTwoChooser implements CandidateChooser {

    private final RandomGenerator mRandom;
    private final RelativeLatencies mLatencies;

    PowerOfTwoChooser(RandomGenerator random, RelativeLatencies latencies) {
        mRandom = random;
        mLatencies = latencies;
    }

    @Override
    public Candidate choose(
            SelectionRequest request, List<Candidate> candidates, LoadEstimate estimate) {
        if (candidates.size() == 1) {
            return candidates.get(0);
        }
        Candidate first = draw(candidates, null);
        Candidate second = draw(candidates, first);
        return expectedDelay(second, estimate) < expectedDelay(first, estimate) ? second : first;
    }

    private double expectedDelay(Candidate candidate, LoadEstimate estimate) {
        return estimate.utilisationWithOneMore(candidate)
                * mLatencies.relativeLatency(candidate.upstream());
    }

    /** Draws a candidate other than the one already drawn, which is null for the first draw. */
    private Candidate draw(List<Candidate> candidates, Candidate drawn) {
        double total = 0;
        for (Candidate candidate : candidates) {
            total += candidate == drawn ? 0 : LoadEstimate.limit(candidate);
        }
        double remaining = nextDouble() * total;
        Candidate last = candidates.get(0);
        for (Candidate candidate : candidates) {
            if (candidate == drawn) {
                continue;
            }
            last = candidate;
            remaining -= LoadEstimate.limit(candidate);
            if (remaining < 0) {
                return candidate;
            }
        }
        return last;
    }

    private double nextDouble() {
        synchronized (mRandom) {
            return mRandom.nextDouble();
        }
    }
}
