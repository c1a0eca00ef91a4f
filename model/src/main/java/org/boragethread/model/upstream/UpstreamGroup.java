package org.boragethread.model.upstream;

import java.util.Objects;

/**
 * A group of interchangeable upstreams.
 *
 * @param id name of the group
 * @param kind kind of its upstreams
 * @param coldLimit initial limit of concurrent calls to an upstream after its start
 * @param maxLimit maximum number of concurrent calls to one upstream
 * @param reportsLoad whether its upstreams report their load in responses
 */
public record UpstreamGroup(
        GroupId id, GroupKind kind, int coldLimit, int maxLimit, boolean reportsLoad) {

    public UpstreamGroup {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        if (coldLimit < 1 || maxLimit < coldLimit) {
            throw new IllegalArgumentException(
                    "group \"%s\": coldLimit %d and maxLimit %d violate 1 <= coldLimit <= maxLimit"
                            .formatted(id, coldLimit, maxLimit));
        }
    }
}
