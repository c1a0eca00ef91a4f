package org.boragethread.core.selection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Walks outwards to the nearest ring with room. If no candidate has room, chooses among those of
 * the nearest region, so that the queues there share the excess.
 */
final class NearestTierSelection {

    private NearestTierSelection() {}

    static Optional<Candidate> choose(
            SelectionRequest request, List<Candidate> candidates, CandidateChooser chooser) {
        List<List<Candidate>> rings = LocalityTiers.of(request, candidates);
        for (List<Candidate> ring : rings) {
            LoadEstimate estimate = LoadEstimate.among(ring);
            List<Candidate> withRoom = ring.stream().filter(estimate::hasCapacity).toList();
            if (!withRoom.isEmpty()) {
                return Optional.of(chooser.choose(request, withRoom, estimate));
            }
        }
        List<Candidate> saturated = nearestRegion(request, rings);
        if (saturated.isEmpty()) {
            return Optional.empty();
        }
        LoadEstimate estimate = LoadEstimate.among(saturated);
        return Optional.of(chooser.choose(request, saturated, estimate));
    }

    private static List<Candidate> nearestRegion(
            SelectionRequest request, List<List<Candidate>> rings) {
        List<Candidate> near = new ArrayList<>();
        List<Candidate> all = new ArrayList<>();
        for (List<Candidate> ring : rings) {
            for (Candidate candidate : ring) {
                all.add(candidate);
                if (candidate.dataCentre().equals(request.homeDataCentre())
                        || candidate.region().equals(request.homeRegion())) {
                    near.add(candidate);
                }
            }
        }
        return near.isEmpty() ? all : near;
    }
}
