package org.boragethread.core.rollout;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/** Versions of one group, for {@link RolloutTable}. */
final class GroupVersions {

    GroupVersions(
            TimeSource time, RolloutBounds bounds, Supplier<Optional<ClockReading>> ordersReadAt) {}

    void setUpstreams(Collection<UpstreamAnnouncement> upstreams) {}

    void setRequest(Optional<RolloutRequest> request) {}

    void setState(RolloutState state) {}

    Optional<RolloutState> state() {
        return Optional.empty();
    }

    VersionRule rule(String route, SendKind kind, boolean statusFresh) {
        return VersionRule.ANY;
    }

    boolean trySend(
            String route,
            SendKind kind,
            UpstreamId upstream,
            Optional<SoftwareVersion> version,
            boolean statusFresh) {
        return true;
    }

    Optional<VersionSide> side(Optional<SoftwareVersion> version) {
        return Optional.empty();
    }
}
