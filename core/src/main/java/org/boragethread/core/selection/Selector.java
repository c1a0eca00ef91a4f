package org.boragethread.core.selection;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for a call. Implementations are thread-safe. */
public interface Selector {

    /**
     * Chooses among upstreams that are connected and in service.
     *
     * @param candidates upstreams of the group, in a stable order
     * @return the chosen candidate, or empty if every candidate is excluded or ineligible
     */
    Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates);
}
