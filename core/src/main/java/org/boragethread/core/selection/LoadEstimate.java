package org.boragethread.core.selection;

import java.time.Duration;
import java.util.Collection;

/**
 * Estimates the load of candidates. The report of an agent covers the calls of all entries but is
 * delayed; the open calls of this process are known exactly but are only its own. The older a
 * report is, the lower its weight, and the more the mean of all candidates replaces it.
 */
final class LoadEstimate {

    private static final double REPORT_WEIGHT_TIME_CONSTANT_NANOS = Duration.ofSeconds(1).toNanos();

    private final double mMeanUtilisationByOthers;
    private final double mMeanUtilisationWithOneMore;

    private LoadEstimate(double others, double sent, double limits, int count) {
        mMeanUtilisationByOthers = limits == 0 ? 0 : others / limits;
        mMeanUtilisationWithOneMore = limits == 0 ? 0 : (others + sent + count) / limits;
    }

    /** Creates the estimate for a set of candidates, from which the mean is computed. */
    static LoadEstimate among(Collection<Candidate> candidates) {
        double others = 0;
        double sent = 0;
        double limits = 0;
        for (Candidate candidate : candidates) {
            others += reportedOthers(candidate);
            sent += candidate.ownCalls();
            limits += limit(candidate);
        }
        return new LoadEstimate(others, sent, limits, candidates.size());
    }

    /** Returns the mean utilisation if every candidate had one more call. */
    double meanUtilisationWithOneMore() {
        return mMeanUtilisationWithOneMore;
    }

    /** Returns running and queued calls, plus one more, as a multiple of the limit. */
    double utilisationWithOneMore(Candidate candidate) {
        return (estimatedCalls(candidate) + 1) / limit(candidate);
    }

    /** Returns whether one more call would run at once. */
    boolean hasCapacity(Candidate candidate) {
        return utilisationWithOneMore(candidate) <= 1;
    }

    /** Returns the estimated number of running and queued calls. */
    double estimatedCalls(Candidate candidate) {
        double weight =
                Math.exp(
                        -Math.max(0, candidate.loadAgeNanos()) / REPORT_WEIGHT_TIME_CONSTANT_NANOS);
        double expectedOthers = mMeanUtilisationByOthers * limit(candidate);
        double others = weight * reportedOthers(candidate) + (1 - weight) * expectedOthers;
        return candidate.ownCalls() + others;
    }

    static double limit(Candidate candidate) {
        return Math.max(1, candidate.load().limit());
    }

    /** Returns the number of reported calls that other processes have sent. */
    private static double reportedOthers(Candidate candidate) {
        int reported = candidate.load().inFlight() + candidate.load().queued();
        return Math.max(0, reported - candidate.ownCalls());
    }
}
