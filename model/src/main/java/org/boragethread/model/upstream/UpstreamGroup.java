package org.boragethread.model.upstream;

import java.util.Objects;

/**
 * A group of interchangeable upstreams.
 *
 * @param id name of the group
 * @param kind what its upstreams are
 * @param coldLimit number of concurrent calls that an upstream bears just after its start
 * @param maxLimit greatest number of concurrent calls to one upstream
 * @param reportsLoad whether its upstreams report their load in answers
 */
public record UpstreamGroup(
        GroupId id, GroupKind kind, int coldLimit, int maxLimit, boolean reportsLoad) {

    public UpstreamGroup {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        if (coldLimit < 1 || maxLimit < coldLimit) {
            throw new IllegalArgumentException(
                    "group \"%s\": coldLimit %d and maxLimit %d must satisfy 1 <= cold <= max"
                            .formatted(id, coldLimit, maxLimit));
        }
    }
}
