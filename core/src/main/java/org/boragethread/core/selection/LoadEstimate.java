package org.boragethread.core.selection;

import java.time.Duration;
import java.util.Collection;

/**
 * Estimates the load of candidates. An agent's report covers the calls of all entries but is late;
 * this process's unanswered calls are exact but are only its own. The older a report is, the less
 * it counts, and the more the mean of the other candidates stands in for it.
 */
final class LoadEstimate {

    private static final double TIME_CONSTANT_NANOS = Duration.ofSeconds(1).toNanos();

    private final double mMeanOthers;
    private final double mMeanWithOneMore;

    private LoadEstimate(double others, double sent, double limits, int count) {
        mMeanOthers = limits == 0 ? 0 : others / limits;
        mMeanWithOneMore = limits == 0 ? 0 : (others + sent + count) / limits;
    }

    /** Prepares estimates for candidates that stand in for one another. */
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
    double meanWithOneMore() {
        return mMeanWithOneMore;
    }

    /** Returns running and waiting calls, with one more, as a multiple of the limit. */
    double utilisationWithOneMore(Candidate candidate) {
        return (estimatedCalls(candidate) + 1) / limit(candidate);
    }

    /** Tells whether one more call would run at once. */
    boolean hasCapacity(Candidate candidate) {
        return utilisationWithOneMore(candidate) <= 1;
    }

    /** Returns the estimated number of running and waiting calls. */
    double estimatedCalls(Candidate candidate) {
        double weight = Math.exp(-Math.max(0, candidate.loadAgeNanos()) / TIME_CONSTANT_NANOS);
        double presumed = mMeanOthers * limit(candidate);
        double others = weight * reportedOthers(candidate) + (1 - weight) * presumed;
        return candidate.ownCalls() + others;
    }

    static double limit(Candidate candidate) {
        return Math.max(1, candidate.load().limit());
    }

    /** Returns the reported calls that other processes sent. */
    private static double reportedOthers(Candidate candidate) {
        int reported = candidate.load().inFlight() + candidate.load().queued();
        return Math.max(0, reported - candidate.ownCalls());
    }
}
