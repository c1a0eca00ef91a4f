package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.rollout.RolloutBounds;
import org.boragethread.core.rollout.RolloutOrder;
import org.boragethread.core.rollout.RolloutPhase;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.core.rollout.RolloutTable;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.Test;

/** Tests what becomes of an engine that a coordinator has selected. */
public class PlacedEngineCheckTest {

    private static final GroupId GROUP = new GroupId("chat");

    // Guards against a version on trial that gets requests beyond its share, because they were
    // placed there before the order began.
    @Test
    public void engineOfAVersionOnTrialIsUsedWithinTheShareOnly() {
        ManualTimeSource time = new ManualTimeSource();
        UpstreamDirectory directory = new UpstreamDirectory(time);
        List<UpstreamAnnouncement> engines = List.of(engine("old", "v1"), engine("new", "v2"));
        engines.forEach(directory::put);
        RolloutTable table =
                new RolloutTable(
                        time, new RolloutBounds(0.1, Duration.ofSeconds(5), Duration.ZERO));
        table.setUpstreams(GROUP, engines);
        time.advance(Duration.ofMillis(1));
        table.onOrdersRead(ClockReading.now(time));
        PlacedEngineCheck check =
                new PlacedEngineCheck(
                        node -> true,
                        node ->
                                table.trySend(
                                        GROUP,
                                        "route",
                                        SendKind.FIRST,
                                        node.entry().id(),
                                        node.softwareVersion()),
                        () -> table.state(GROUP).isPresent());
        Optional<UpstreamNode> placed = directory.find(new UpstreamId("new"));
        assertEquals(check.accept(placed), placed, "without an order");
        assertTrue(check.isAskedAgain(1));
        RolloutRequest request =
                new RolloutRequest(GROUP, new SoftwareVersion("v2"), Duration.ofSeconds(60));
        table.setRequests(Map.of(GROUP, request));
        table.setState(
                new RolloutState(
                        new RolloutOrder(request, 1), RolloutPhase.TRIAL, 1, false, List.of()));
        table.onStatusRead(ClockReading.now(time));
        assertEquals(check.accept(placed), Optional.empty(), "no share yet");
        assertFalse(check.isAskedAgain(1), "this process selects by itself");
        Optional<UpstreamNode> old = directory.find(new UpstreamId("old"));
        for (int i = 0; i < 13; i++) {
            assertEquals(check.accept(old), old);
        }
        assertEquals(check.accept(placed), placed, "one of 13 attempts");
        assertEquals(check.accept(placed), Optional.empty(), "beyond the share");
    }

    private static UpstreamAnnouncement engine(String id, String version) {
        return new UpstreamAnnouncement(
                new UpstreamId(id),
                GROUP,
                "10.0.0.1",
                1000,
                new DataCentreId("north"),
                false,
                0,
                Optional.of(1L),
                Optional.of(new SoftwareVersion(version)));
    }
}
