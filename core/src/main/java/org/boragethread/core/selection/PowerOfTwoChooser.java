package org.boragethread.core.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Power of two choices. Both are drawn in proportion to the limits, so that a cold upstream gets
 * only its share even when many processes choose on the same late report; the one with the smaller
 * expected delay wins.
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
        return delay(second, estimate) < delay(first, estimate) ? second : first;
    }

    private double delay(Candidate candidate, LoadEstimate estimate) {
        return estimate.utilisationWithOneMore(candidate)
                * mLatencies.relativeLatency(candidate.upstream());
    }

    /** Draws a candidate other than the one already drawn, which may be null. */
    private Candidate draw(List<Candidate> candidates, Candidate drawn) {
        double total = 0;
        for (Candidate candidate : candidates) {
            total += candidate == drawn ? 0 : LoadEstimate.limit(candidate);
        }
        double left = nextDouble() * total;
        Candidate last = candidates.get(0);
        for (Candidate candidate : candidates) {
            if (candidate == drawn) {
                continue;
            }
            last = candidate;
            left -= LoadEstimate.limit(candidate);
            if (left < 0) {
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
