package org.boragethread.core.selection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Groups candidates by distance: same data centre, same region, elsewhere. */
final class LocalityTiers {

    private static final long MAX_REPORT_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    private LocalityTiers() {}

    /** Returns the eligible candidates, nearest tier first; empty tiers are omitted. */
    static List<List<Candidate>> of(SelectionRequest request, List<Candidate> candidates) {
        List<Candidate> sameDataCentre = new ArrayList<>();
        List<Candidate> sameRegion = new ArrayList<>();
        List<Candidate> elsewhere = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (isIneligible(request, candidate)) {
                continue;
            }
            if (candidate.dataCentre().equals(request.homeDataCentre())) {
                sameDataCentre.add(candidate);
            } else if (isInRegion(request, candidate)) {
                sameRegion.add(candidate);
            } else {
                elsewhere.add(candidate);
            }
        }
        List<List<Candidate>> tiers =
                new ArrayList<>(List.of(sameDataCentre, sameRegion, elsewhere));
        tiers.removeIf(List::isEmpty);
        return tiers;
    }

    private static boolean isIneligible(SelectionRequest request, Candidate candidate) {
        return candidate.load().draining()
                || isWithoutCapacity(candidate)
                || request.excluded().contains(candidate.upstream());
    }

    /**
     * Returns whether an agent recently reported a limit of 0, which means that it does not call
     * its upstream. A report that is too old is ignored, so that the upstream is tried again.
     */
    private static boolean isWithoutCapacity(Candidate candidate) {
        return candidate.load().limit() < 1 && candidate.loadAgeNanos() < MAX_REPORT_AGE_NANOS;
    }

    private static boolean isInRegion(SelectionRequest request, Candidate candidate) {
        return !candidate.region().isEmpty() && candidate.region().equals(request.homeRegion());
    }
}
