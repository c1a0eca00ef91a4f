package org.boragethread.core.selection;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses by rendezvous hashing with bounded loads. The candidate with the greatest hash of prefix
 * and upstream is chosen, unless more than half of its limit is in use and its load exceeds a
 * multiple of the mean; in that case the candidate with the next greatest hash is considered.
 */
final class RendezvousChooser implements CandidateChooser {

    private static final Hasher64 HASHER = Hashing.komihash5_0();
    private static final double ALWAYS_ALLOWED_UTILISATION = 0.5;

    private final double mLoadFactor;
    private final RelativeLatencies mLatencies;

    RendezvousChooser(double loadFactor, RelativeLatencies latencies) {
        mLoadFactor = loadFactor;
        mLatencies = latencies;
    }

    @Override
    public Candidate choose(
            SelectionRequest request, List<Candidate> candidates, LoadEstimate estimate) {
        double bound =
                Math.max(
                        ALWAYS_ALLOWED_UTILISATION,
                        mLoadFactor * estimate.meanUtilisationWithOneMore());
        Optional<Candidate> preferred =
                candidates.stream()
                        .filter(candidate -> expectedDelay(candidate, estimate) <= bound)
                        .max(byHash(request.prefixHash()));
        if (preferred.isPresent()) {
            return preferred.get();
        }
        return candidates.stream()
                .min(Comparator.comparingDouble(candidate -> expectedDelay(candidate, estimate)))
                .orElseThrow();
    }

    private double expectedDelay(Candidate candidate, LoadEstimate estimate) {
        return estimate.utilisationWithOneMore(candidate)
                * Math.max(1, mLatencies.relativeLatency(candidate.upstream()));
    }

    private static Comparator<Candidate> byHash(long prefixHash) {
        return Comparator.comparingLong(
                candidate ->
                        HASHER.hashLongLongToLong(
                                prefixHash, HASHER.hashCharsToLong(candidate.upstream().value())));
    }
}
