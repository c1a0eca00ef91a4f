package org.boragethread.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.UpstreamId;

/** Finds an upstream for one attempt. */
public interface UpstreamPicker {

    /**
     * Picks an upstream of the stage's group that is connected and in service.
     *
     * @param prefixHash hash of the beginning of the input, for engines that cache prefixes
     * @param excluded upstreams that the request has tried at this stage
     */
    Optional<UpstreamLink> pick(Stage stage, long prefixHash, Set<UpstreamId> excluded);

    /** Returns the running and waiting calls of a stage's group as a share of its limits. */
    double utilisation(Stage stage);
}
