package org.boragethread.core.selection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Groups candidates by distance: own data centre, own region, elsewhere. */
final class LocalityTiers {

    private static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    private LocalityTiers() {}

    /** Returns the fit candidates, nearest first; rings without candidates are left out. */
    static List<List<Candidate>> of(SelectionRequest request, List<Candidate> candidates) {
        List<Candidate> own = new ArrayList<>();
        List<Candidate> region = new ArrayList<>();
        List<Candidate> elsewhere = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (isUnfit(request, candidate)) {
                continue;
            }
            if (candidate.dataCentre().equals(request.homeDataCentre())) {
                own.add(candidate);
            } else if (isInRegion(request, candidate)) {
                region.add(candidate);
            } else {
                elsewhere.add(candidate);
            }
        }
        List<List<Candidate>> rings = new ArrayList<>(List.of(own, region, elsewhere));
        rings.removeIf(List::isEmpty);
        return rings;
    }

    private static boolean isUnfit(SelectionRequest request, Candidate candidate) {
        return candidate.load().leaving()
                || isWithoutCapacity(candidate)
                || request.excluded().contains(candidate.upstream());
    }

    /** An agent that does not call its upstream reports a limit of 0. */
    private static boolean isWithoutCapacity(Candidate candidate) {
        return candidate.load().limit() < 1 && candidate.loadAgeNanos() < MAX_AGE_NANOS;
    }

    private static boolean isInRegion(SelectionRequest request, Candidate candidate) {
        return !candidate.region().isEmpty() && candidate.region().equals(request.homeRegion());
    }
}
