package org.boragethread.core.selection;

import java.util.Objects;
import java.util.Set;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamId;

/**
 * A call for which an upstream is to be chosen.
 *
 * @param kind kind of the upstream group
 * @param homeDataCentre data centre of this process
 * @param homeRegion region of that data centre
 * @param prefixHash hash of the beginning of the prompt, for engines that cache prefixes
 * @param excluded upstreams that have already been tried for this request
 */
public record SelectionRequest(
        GroupKind kind,
        DataCentreId homeDataCentre,
        String homeRegion,
        long prefixHash,
        Set<UpstreamId> excluded) {

    public SelectionRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(homeDataCentre, "home");
        Objects.requireNonNull(homeRegion, "homeRegion");
        excluded = Set.copyOf(excluded);
    }
}
