package org.boragethread.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.UpstreamId;

/** Picks the upstream for an attempt to run a stage. */
public interface UpstreamPicker {

    /**
     * Picks an upstream of the stage's group that is connected and in service.
     *
     * @param prefixHash hash of the beginning of the input, for engines with a prefix cache
     * @param excluded upstreams that the request has already tried for this stage
     * @return a connection to the upstream, or empty if none is available
     */
    Optional<UpstreamLink> pick(Stage stage, long prefixHash, Set<UpstreamId> excluded);

    /** Returns the running and queued calls of a stage's group, as a fraction of its limits. */
    double utilisation(Stage stage);
}
