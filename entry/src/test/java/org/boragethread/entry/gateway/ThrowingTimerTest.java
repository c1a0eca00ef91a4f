package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.quarantine.QuarantineBlock;
import org.boragethread.core.quarantine.Suspect;
import org.boragethread.core.stage.BatchClient;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests timers of a gateway that serve several requests, when one of these throws. */
public class ThrowingTimerTest {

    private static final int WAIT_SECONDS = 10;

    private static final String ANNOUNCEMENT =
            """
            {"service":"orders","address":"127.0.0.1:%d","zone":"north","version":"v1","slots":4,
            "state":"ready",
            "cold_left_ms":0,"seq":1}""";

    private final FailingTimeSource mTime = new FailingTimeSource();
    private EventLoopGroup mLoops;
    private EventLoop mLoop;
    private ServerSocket mUpstream;
    private Gateway mGateway;

    @BeforeMethod
    public void open() throws Exception {
        mUpstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mLoops = new NioEventLoopGroup(1);
        mLoop = mLoops.next();
        mGateway = new Gateway(settings(), mTime, mLoop, new GatewayMetrics());
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        mUpstream.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private GatewaySettings settings() {
        InetSocketAddress unused = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        return new GatewaySettings(
                "gateway-1",
                new DataCentreId("north"),
                Map.of(new DataCentreId("north"), "region-1"),
                unused,
                unused,
                Optional.empty(),
                unused,
                100,
                unused,
                1,
                Duration.ofSeconds(2),
                Duration.ofMinutes(5),
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(1),
                new GatewaySettings.RetryBound(0.2, 10, Duration.ofSeconds(10)),
                new ColdRateBound(1, 1),
                SchedulingSettings.local(),
                Optional.empty());
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return mLoop.submit(task).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    // Guards against requests that are not told of a block because another one threw.
    @Test
    public void allWatchersLearnOfABlock() throws Exception {
        Set<String> calls = new TreeSet<>();
        onLoop(
                () -> {
                    for (String request : List.of("a", "b", "c")) {
                        mGateway.guard()
                                .run(
                                        cause -> calls.add("failed " + request),
                                        () -> mGateway.quarantineSync().watch(() -> call(request)));
                        mGateway.quarantineSync().watch(() -> calls.add(request));
                    }
                    QuarantineBlock block =
                            new QuarantineBlock(
                                    Suspect.part(new GroupId("orders"), 1),
                                    2,
                                    "x",
                                    Duration.ZERO,
                                    Duration.ofSeconds(1));
                    mGateway.quarantineSync().onBlocked(block);
                    return true;
                });
        Set<String> seen = Set.of();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (seen.size() < 2 * 3 && System.nanoTime() < end) {
            seen = onLoop(() -> Set.copyOf(calls));
        }
        assertEquals(seen, Set.of("failed a", "a", "failed b", "b", "failed c", "c"));
    }

    private static void call(String request) {
        throw new IllegalStateException(request);
    }

    // Guards against results that are never freed again because one attempt threw.
    @Test
    public void resultsAreFreedAfterAnAttemptThrew() throws Exception {
        UpstreamNode upstream = onLoop(this::announceUpstream);
        BatchClient client =
                onLoop(
                        () ->
                                new HttpBatchClient(
                                        mGateway.connections(),
                                        mGateway.scheduler(),
                                        mTime,
                                        mGateway.log(),
                                        mGateway.metrics(),
                                        mGateway.upstreamSignals(),
                                        mGateway.rateLimitShare(),
                                        new StageRollouts(mGateway),
                                        group -> {}));
        mTime.mFailing = true;
        onLoop(() -> free(client, upstream, "h-1"));
        awaitFailure();
        mTime.mFailing = false;
        onLoop(() -> free(client, upstream, "h-2"));
        mUpstream.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        mUpstream.accept().close();
    }

    private UpstreamNode announceUpstream() {
        String announcement = ANNOUNCEMENT.formatted(mUpstream.getLocalPort());
        new UpstreamListener(mGateway)
                .onSnapshot(Map.of("orders-1", announcement.getBytes(StandardCharsets.UTF_8)));
        return mGateway.directory().find(new UpstreamId("orders-1")).orElseThrow();
    }

    private static boolean free(BatchClient client, UpstreamNode upstream, String handle) {
        client.free(upstream, List.of(handle));
        return true;
    }

    private void awaitFailure() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!mTime.mFailed && System.nanoTime() < end) {
            onLoop(() -> true);
        }
        assertTrue(mTime.mFailed);
        // The rest of the timer's task.
        onLoop(() -> true);
    }

    /** The clocks of the operating system, whose monotonic clock throws for a while. */
    private static final class FailingTimeSource implements TimeSource {

        private final TimeSource mClock = new SystemTimeSource();
        private volatile boolean mFailing;
        private volatile boolean mFailed;

        @Override
        public Instant instant() {
            return mClock.instant();
        }

        @Override
        public long nanoTime() {
            if (mFailing) {
                mFailed = true;
                throw new IllegalStateException("the clock can't be read");
            }
            return mClock.nanoTime();
        }
    }
}
