package org.boragethread.entry.rollout;

import static org.testng.Assert.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.boragethread.core.rollout.RolloutBounds;
import org.boragethread.core.rollout.RolloutOrder;
import org.boragethread.core.rollout.RolloutPhase;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.core.rollout.RolloutTable;
import org.boragethread.core.rollout.VersionCounts;
import org.boragethread.core.rollout.VersionSide;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how the end of a call counts for the version that it was sent to. */
public class GroupUsesTest {

    private static final GroupId GROUP = new GroupId("chat");
    private static final SoftwareVersion TARGET = new SoftwareVersion("v2");
    private static final OptionalDouble USUAL_TIME = OptionalDouble.of(1);
    private static final double LONG_TIME = 20;

    private GroupUses mUses;
    private UpstreamUse mUse;

    @BeforeMethod
    public void begin() {
        ManualTimeSource time = new ManualTimeSource();
        RolloutBounds bounds =
                new RolloutBounds(0.1, Duration.ofSeconds(5), Duration.ofSeconds(10));
        RolloutTable table = new RolloutTable(time, bounds);
        RolloutOrder order =
                new RolloutOrder(new RolloutRequest(GROUP, TARGET, Duration.ofSeconds(60)), 0);
        table.setState(new RolloutState(order, RolloutPhase.TRIAL, 1, false, List.of()));
        mUses = new GroupUses(GROUP, table, time, new RolloutMetrics(new SimpleMeterRegistry()));
        mUses.setOrder(order);
        UpstreamDirectory directory = new UpstreamDirectory(time);
        directory.put(
                new UpstreamAnnouncement(
                        new UpstreamId("engine"),
                        GROUP,
                        "10.0.0.1",
                        1000,
                        new DataCentreId("north"),
                        false,
                        0,
                        Optional.of(1L),
                        Optional.of(TARGET)));
        UpstreamNode node = directory.of(GROUP).get(0);
        mUse = mUses.begin("stream", node);
    }

    private void assertCounted(long responses, long failures) {
        mUse.onEnded();
        VersionCounts counts = mUses.evidence().total(VersionSide.TARGET);
        assertEquals(counts.responses(), responses, "responses");
        assertEquals(counts.allFailures(), failures, "failures");
    }

    @Test
    public void streamCountsOnceAtItsEndByTheTimeOfItsFirstEvent() {
        mUse.onStarted(USUAL_TIME);
        assertEquals(mUses.evidence().total(VersionSide.TARGET).responses(), 0);
        mUse.onResponse(OptionalDouble.of(LONG_TIME));
        mUse.onAbandoned(LONG_TIME);
        assertCounted(1, 0);
        long[] times = mUses.evidence().total(VersionSide.TARGET).times();
        assertEquals(times[VersionCounts.bucket(1)], 1);
    }

    // Guards against a version whose streams break and that seems good by their first events.
    @Test
    public void streamThatBreaksCountsOnceAsAFailure() {
        mUse.onStarted(USUAL_TIME);
        mUse.onFailure();
        mUse.onAbandoned(LONG_TIME);
        assertCounted(1, 1);
    }

    // Guards against a version whose streams stall and that seems good by their first events.
    @Test
    public void streamThatIsGivenUpAfterItsFirstEventIsAFailure() {
        mUse.onStarted(USUAL_TIME);
        mUse.onGivenUp(LONG_TIME);
        mUse.onAbandoned(LONG_TIME);
        assertCounted(1, 1);
    }

    // Guards against a good version that is rolled back because callers end their streams.
    @Test
    public void streamWhoseCallerLeavesIsNotCounted() {
        mUse.onStarted(USUAL_TIME);
        mUse.onAbandoned(LONG_TIME);
        assertCounted(0, 0);
    }

    @Test
    public void callThatIsGivenUpBeforeItsFirstEventIsSlow() {
        mUse.onGivenUp(LONG_TIME);
        mUse.onAbandoned(LONG_TIME);
        assertCounted(1, 0);
    }
}
