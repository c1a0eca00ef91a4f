package org.boragethread.model.team;

import java.util.Objects;

/**
 * A team and its share of the upstreams.
 *
 * @param id name of the team
 * @param weight share of an upstream relative to other waiting teams, at least 1
 * @param ratePerSecond maximum number of requests per second that an entry admits
 * @param maxConcurrent maximum number of concurrent requests at one entry
 */
public record Team(TeamId id, int weight, double ratePerSecond, int maxConcurrent) {

    public Team {
        Objects.requireNonNull(id, "id");
        if (weight < 1) {
            throw new IllegalArgumentException(
                    "team \"%s\": weight must be at least 1".formatted(id));
        }
        if (!(ratePerSecond > 0)) {
            throw new IllegalArgumentException(
                    "team \"%s\": ratePerSecond must be above 0".formatted(id));
        }
        if (maxConcurrent < 1) {
            throw new IllegalArgumentException(
                    "team \"%s\": maxConcurrent must be at least 1".formatted(id));
        }
    }
}
