package org.boragethread.core.selection;

import java.util.List;

/** Chooses among candidates that are equally near. */
interface CandidateChooser {

    /**
     * Chooses one candidate.
     *
     * @param candidates at least one
     * @param estimate their load
     */
    Candidate choose(SelectionRequest request, List<Candidate> candidates, LoadEstimate estimate);
}
