package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.stage.SharedStagePolicy;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.command.SettingsFile;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link DirectoryBatchGroup}. */
public class DirectoryBatchGroupTest {

    private static final GroupId ENCODERS = new GroupId("encoders");
    private static final int PARTITIONS = 36;

    private static final String SETTINGS =
            """
            [gateway]
            name = "first"
            data_centre = "north"
            listen = "127.0.0.1:1"
            readiness_listen = "127.0.0.1:2"
            peer_listen = "127.0.0.1:3"
            store = "127.0.0.1:4"
            [data_centres]
            north = "region-1"
            """;

    private final EventLoop mLoop = new DefaultEventLoop();
    private ManualTimeSource mTime;
    private Gateway mGateway;
    private DirectoryBatchGroup mGroup;

    @BeforeMethod
    public void createGroup() throws Exception {
        Path file = Files.createTempFile("first", ".toml");
        Files.writeString(file, SETTINGS);
        GatewaySettings settings = SettingsFile.load(file, GatewaySettings::read).get();
        mTime = new ManualTimeSource();
        mGateway = new Gateway(settings, mTime, mLoop, new GatewayMetrics());
        mGateway.directory().put(announcement("a"));
        mGateway.directory().put(announcement("b"));
        mGroup =
                new DirectoryBatchGroup(
                        mGateway,
                        ENCODERS,
                        new SharedStagePolicy(
                                new StageLog(ENCODERS, mGateway.log(), mGateway.metrics())));
    }

    @AfterMethod(alwaysRun = true)
    public void stopLoop() {
        mLoop.shutdownGracefully();
    }

    private static UpstreamAnnouncement announcement(String id) {
        return new UpstreamAnnouncement(
                new UpstreamId(id),
                ENCODERS,
                "10.0.0.1",
                80,
                new DataCentreId("north"),
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }

    /** Lets a time pass in which this entry leases all partitions. */
    private void lease(Duration time) {
        Set<Integer> all = IntStream.range(0, PARTITIONS).boxed().collect(Collectors.toSet());
        for (long i = 0; i < time.toSeconds(); i++) {
            mGateway.sharedLimits().renew(ClockReading.now(mTime), all);
            mTime.advance(Duration.ofSeconds(1));
        }
        mGateway.sharedLimits().renew(ClockReading.now(mTime), all);
    }

    // Guards against a stage's upstream that gets no call after its limit ended.
    @Test
    public void limitedUpstreamIsAskedAgainBeforeOthers() {
        List<UpstreamNode> before = mGroup.upstreams();
        UpstreamNode limited = before.get(1);
        limited.namedRateLimit().learn(OptionalDouble.of(0.5), mTime.nanoTime());
        lease(Duration.ofSeconds(30));
        assertEquals(mGroup.upstreams().get(0), limited);
        limited.onSent(mTime.nanoTime());
        limited.onEnded();
        assertNotEquals(mGroup.upstreams().get(0), limited);
        lease(Duration.ofSeconds(10));
        assertEquals(mGroup.upstreams().get(0), limited);
    }

    // Guards against calls to an upstream that is slow at this moment beside one that is not, and
    // against a slow moment that is remembered for long.
    @Test
    public void upstreamThatReportsASlowMomentGoesLast() {
        UpstreamNode slow = mGroup.upstreams().get(0);
        slow.reportTimeFactor(3, mTime.nanoTime());
        assertNotEquals(mGroup.upstreams().get(0), slow);
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(mGroup.upstreams().get(0), slow);
    }

    // Guards against an upstream that this entry never called and that it takes for the busiest.
    @Test
    public void upstreamThatWasNeverCalledGoesBeforeABusyOne() {
        mTime.advance(Duration.ofSeconds(1));
        UpstreamNode busy = mGroup.upstreams().get(0);
        busy.setBusyUntil(mTime.nanoTime() + Duration.ofSeconds(1).toNanos());
        assertNotEquals(mGroup.upstreams().get(0), busy);
    }
}
