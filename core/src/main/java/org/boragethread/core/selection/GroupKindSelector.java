package org.boragethread.core.selection;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.upstream.GroupKind;

/** Delegates to one selector for engines and to another for all other upstreams. */
public final class GroupKindSelector implements Selector {

    private final Selector mEngines;
    private final Selector mOthers;

    /**
     * Creates a selector.
     *
     * @param engines chooses among engines
     * @param others chooses among other upstreams
     */
    public GroupKindSelector(Selector engines, Selector others) {
        mEngines = Objects.requireNonNull(engines, "engines");
        mOthers = Objects.requireNonNull(others, "others");
    }

    @Override
    public Optional<Candidate> select(SelectionRequest request, List<Candidate> candidates) {
        Selector selector = request.kind() == GroupKind.ENGINE ? mEngines : mOthers;
        return selector.select(request, candidates);
    }
}
