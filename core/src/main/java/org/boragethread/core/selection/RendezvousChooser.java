package org.boragethread.core.selection;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing with bounded load: the candidate with the greatest hash of prefix and upstream
 * gets the call, unless more than half of its limit is in use and its load is above a multiple of
 * the mean; then the next one does.
 */
final class RendezvousChooser implements CandidateChooser {

    private static final Hasher64 HASHER = Hashing.komihash5_0();
    private static final double FREE_UTILISATION = 0.5;

    private final double mLoadFactor;
    private final RelativeLatencies mLatencies;

    RendezvousChooser(double loadFactor, RelativeLatencies latencies) {
        mLoadFactor = loadFactor;
        mLatencies = latencies;
    }

    @Override
    public Candidate choose(
            SelectionRequest request, List<Candidate> candidates, LoadEstimate estimate) {
        double bound = Math.max(FREE_UTILISATION, mLoadFactor * estimate.meanWithOneMore());
        Optional<Candidate> first =
                candidates.stream()
                        .filter(candidate -> delay(candidate, estimate) <= bound)
                        .max(byRank(request.prefixHash()));
        if (first.isPresent()) {
            return first.get();
        }
        return candidates.stream()
                .min(Comparator.comparingDouble(candidate -> delay(candidate, estimate)))
                .orElseThrow();
    }

    private double delay(Candidate candidate, LoadEstimate estimate) {
        return estimate.utilisationWithOneMore(candidate)
                * Math.max(1, mLatencies.relativeLatency(candidate.upstream()));
    }

    private static Comparator<Candidate> byRank(long prefixHash) {
        return Comparator.comparingLong(
                candidate ->
                        HASHER.hashLongLongToLong(
                                prefixHash, HASHER.hashCharsToLong(candidate.upstream().value())));
    }
}
