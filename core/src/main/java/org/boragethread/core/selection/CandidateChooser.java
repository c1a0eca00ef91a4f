package org.boragethread.core.selection;

import java.util.List;

/** Chooses among candidates of the same locality tier. */
interface CandidateChooser {

    /**
     * Chooses one candidate.
     *
     * @param candidates at least one candidate
     * @param estimate estimate of their load
     */
    Candidate choose(SelectionRequest request, List<Candidate> candidates, LoadEstimate estimate);
}
