package org.boragethread.core.selection;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for a call. Implementations are safe for use by several threads. */
public interface Selector {

    /**
     * Chooses among candidates that are connected and in service.
     *
     * @param candidates upstreams of the group, in a stable order
     * @return the choice, or empty if every candidate is excluded or unfit
     */
    Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates);
}
