package org.boragethread.entry.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.placement.EngineDirectory;
import org.boragethread.core.placement.EngineStatus;
import org.boragethread.core.placement.PlacementCoordinator;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.entry.placement.PlacementServer;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** The groups of engines in the configuration and the upstream directory of this process. */
final class DirectoryEngines implements PlacementServer.Groups {

    /** Limits of a group that has lost its own while requests run there. */
    private static final EngineLimits NO_CAPACITY = new EngineLimits(1, 0);

    private final Gateway mGateway;

    DirectoryEngines(Gateway gateway) {
        mGateway = gateway;
    }

    @Override
    public Optional<PlacementCoordinator> createCoordinator(GroupId group) {
        if (!mGateway.settings().scheduling().isShared() || limits(group).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new PlacementCoordinator(
                        new Group(group),
                        mGateway.settings().scheduling().engineMemoryEnforced(),
                        mGateway.scheduler(),
                        mGateway.time(),
                        supervisor(group)));
    }

    @Override
    public Supervisor supervisor(GroupId group) {
        return mGateway.supervisor("placement", group.value());
    }

    @Override
    public Set<UpstreamId> outside(GroupId group, Set<String> regions) {
        Set<UpstreamId> outside = new HashSet<>();
        for (UpstreamNode node : mGateway.directory().of(group)) {
            DataCentreId dataCentre = node.entry().dataCentre();
            if (!regions.contains(mGateway.settings().regions().getOrDefault(dataCentre, ""))) {
                outside.add(node.entry().id());
            }
        }
        return outside;
    }

    /** Returns the groups whose coordinators must know what all entries have at the engines. */
    static Collection<GroupId> withLimitedMemory(Gateway gateway) {
        if (!gateway.settings().scheduling().isShared()
                || !gateway.settings().scheduling().engineMemoryEnforced()) {
            return List.of();
        }
        return gateway.routingTable().config().stream()
                .flatMap(config -> config.groups().values().stream())
                .filter(group -> group.engine().isPresent())
                .map(RoutedGroup::id)
                .toList();
    }

    private Optional<EngineLimits> limits(GroupId group) {
        return mGateway.groupConfig(group).flatMap(RoutedGroup::engine);
    }

    /** The engines of one group. */
    private final class Group implements EngineDirectory {

        private final GroupId mGroup;

        Group(GroupId group) {
            mGroup = group;
        }

        @Override
        public Collection<EngineStatus> engines() {
            long now = mGateway.time().nanoTime();
            List<EngineStatus> engines = new ArrayList<>();
            for (UpstreamNode node : mGateway.directory().of(mGroup)) {
                UpstreamAnnouncement entry = node.entry();
                boolean evacuated =
                        mGateway.routingTable().evacuated().contains(entry.dataCentre());
                engines.add(
                        new EngineStatus(
                                entry.id(),
                                entry.startedMillis()
                                        .orElseGet(() -> (long) entry.address().hashCode()),
                                entry.dataCentre(),
                                node.isCold(now),
                                node.isLeaving() || evacuated,
                                mGateway.directory().isOutdated()
                                        ? Optional.empty()
                                        : node.softwareVersion()));
            }
            return engines;
        }

        @Override
        public EngineLimits limits() {
            return DirectoryEngines.this.limits(mGroup).orElse(NO_CAPACITY);
        }
    }
}
