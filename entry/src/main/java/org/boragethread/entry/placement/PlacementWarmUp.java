package org.boragethread.entry.placement;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.placement.EngineDirectory;
import org.boragethread.core.placement.EngineStatus;
import org.boragethread.core.placement.PlacementCoordinator;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementEvent;
import org.boragethread.wire.proto.PlacementNeeds;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReport;
import org.boragethread.wire.proto.PlacementReports;

/**
 * Places sample requests while a process starts. An entry that becomes the coordinator must
 * acknowledge the first requests in time, before which its classes would have to be loaded.
 */
public final class PlacementWarmUp {

    private static final int REQUESTS = 20;
    private static final GroupId GROUP = new GroupId("warm-up");
    private static final EntryIncarnation ENTRY = new EntryIncarnation("127.0.0.1:1", 1);
    private static final DataCentreId DATA_CENTRE = new DataCentreId("here");
    private static final EngineLimits LIMITS = new EngineLimits(4, 1000);

    private PlacementWarmUp() {}

    /**
     * Places the requests at an engine that does not exist, one after the other.
     *
     * @return number of requests that were placed
     */
    public static int run(Supervisor supervisor, TimeSource time) {
        PlacementServer server = new PlacementServer(new Groups(supervisor, time), time);
        int[] placed = {0};
        try {
            for (int i = 1; i <= REQUESTS; i++) {
                PlacementQuery query = PlacementQuery.parseFrom(ask(i).toByteArray());
                server.place(query, new Counter(placed));
                server.apply(PlacementReports.parseFrom(report(i).toByteArray()));
            }
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a message cannot be read back", e);
        }
        return placed[0];
    }

    private static boolean isPlaced(PlacementDecision decision) {
        return decision.getRefusal().isEmpty() && decision.toByteArray().length > 0;
    }

    private static PlacementQuery ask(int number) {
        long left = Duration.ofSeconds(10).toNanos();
        return PlacementQuery.newBuilder()
                .setGroup(GROUP.value())
                .setSender(ENTRY.encode())
                .setNeeds(
                        PlacementNeeds.newBuilder()
                                .setNumber(number)
                                .setRequestId("sample-" + number)
                                .setPrefixHash(1)
                                .setPrefixTokens(10)
                                .setPromptTokens(20)
                                .setTargetLeftNanos(left)
                                .setDeadlineLeftNanos(left)
                                .setExpiryLeftNanos(left)
                                .setInputDataCentre(DATA_CENTRE.value()))
                .build();
    }

    private static PlacementReports report(int number) {
        return PlacementReports.newBuilder()
                .setGroup(GROUP.value())
                .setSender(ENTRY.encode())
                .addReports(event(number, PlacementEvent.PLACEMENT_EVENT_FIRST_EVENT))
                .addReports(event(number, PlacementEvent.PLACEMENT_EVENT_ENDED))
                .build();
    }

    private static PlacementReport event(int number, PlacementEvent event) {
        return PlacementReport.newBuilder().setNumber(number).setEvent(event).build();
    }

    /** Counts the requests that are placed. */
    private record Counter(int[] placed) implements PlacementServer.Receiver {

        @Override
        public void onDecision(PlacementDecision decision) {
            placed[0] += isPlaced(decision) ? 1 : 0;
        }

        @Override
        public void onSenderEnded() {
            throw new IllegalStateException("the members do not change during the rehearsal");
        }
    }

    /** One group with one engine. */
    private record Groups(Supervisor supervisor, TimeSource time)
            implements PlacementServer.Groups, EngineDirectory {

        @Override
        public Optional<PlacementCoordinator> createCoordinator(GroupId group) {
            return Optional.of(
                    new PlacementCoordinator(
                            this, true, (delay, task) -> () -> {}, time, supervisor));
        }

        @Override
        public Supervisor supervisor(GroupId group) {
            return supervisor;
        }

        @Override
        public Set<UpstreamId> outside(GroupId group, Set<String> regions) {
            return Set.of();
        }

        @Override
        public Collection<EngineStatus> engines() {
            return List.of(
                    new EngineStatus(
                            new UpstreamId("sample"),
                            1,
                            DATA_CENTRE,
                            false,
                            false,
                            Optional.empty()));
        }

        @Override
        public EngineLimits limits() {
            return LIMITS;
        }
    }
}
