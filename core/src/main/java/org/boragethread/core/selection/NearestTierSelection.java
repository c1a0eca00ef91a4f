package org.boragethread.core.selection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses a candidate in the nearest locality tier with capacity. If no tier has capacity, it
 * chooses among the candidates of the nearest region, so that their queues share the excess load.
 */
final class NearestTierSelection {

    private NearestTierSelection() {}

    static Optional<Candidate> choose(
            SelectionRequest request, List<Candidate> candidates, CandidateChooser chooser) {
        List<List<Candidate>> tiers = LocalityTiers.of(request, candidates);
        for (List<Candidate> tier : tiers) {
            LoadEstimate estimate = LoadEstimate.among(tier);
            List<Candidate> withCapacity = tier.stream().filter(estimate::hasCapacity).toList();
            if (!withCapacity.isEmpty()) {
                return Optional.of(chooser.choose(request, withCapacity, estimate));
            }
        }
        List<Candidate> saturated = nearestRegion(request, tiers);
        if (saturated.isEmpty()) {
            return Optional.empty();
        }
        LoadEstimate estimate = LoadEstimate.among(saturated);
        return Optional.of(chooser.choose(request, saturated, estimate));
    }

    private static List<Candidate> nearestRegion(
            SelectionRequest request, List<List<Candidate>> tiers) {
        List<Candidate> nearest = new ArrayList<>();
        List<Candidate> all = new ArrayList<>();
        for (List<Candidate> tier : tiers) {
            for (Candidate candidate : tier) {
                all.add(candidate);
                if (candidate.dataCentre().equals(request.homeDataCentre())
                        || candidate.region().equals(request.homeRegion())) {
                    nearest.add(candidate);
                }
            }
        }
        return nearest.isEmpty() ? all : nearest;
    }
}
