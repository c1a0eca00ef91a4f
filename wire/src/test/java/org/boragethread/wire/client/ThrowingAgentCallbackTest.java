package org.boragethread.wire.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.dispatch.CallListener;
import org.boragethread.core.dispatch.CallSummary;
import org.boragethread.core.dispatch.StageCall;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.CloseReason;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.SharedKey;
import org.boragethread.wire.frame.WireEvents;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.server.AgentIdentity;
import org.boragethread.wire.server.AgentServer;
import org.boragethread.wire.server.IncomingCall;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests connections between entries and agents of which one callback throws. */
public class ThrowingAgentCallbackTest {

    private static final int WAIT_SECONDS = 10;
    private static final int SILENT = 0;
    private static final int FIRST = 1;
    private static final int SECOND = 2;

    private final TimeSource mTime = new SystemTimeSource();
    private final WireSettings mSettings =
            WireSettings.withKey(new SharedKey("a key for tests, not a secret"));
    private EventLoopGroup mLoops;
    private InetSocketAddress mAddress;
    private Optional<AgentServer> mServer;
    private AgentConnector mConnector;
    private Events mEvents;
    private BlockingQueue<String> mTrace;
    private BlockingQueue<UpstreamLink> mLinks;
    private Map<Integer, IncomingCall> mCalls;
    private volatile String mThrowing;

    @BeforeMethod
    public void open() throws Exception {
        mLoops = new NioEventLoopGroup(1);
        mServer = Optional.empty();
        mEvents = new Events();
        mTrace = new LinkedBlockingQueue<>();
        mLinks = new LinkedBlockingQueue<>();
        mCalls = new ConcurrentHashMap<>();
        mThrowing = "";
        try (ServerSocket socket = new ServerSocket(0)) {
            mAddress =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
        mConnector =
                new AgentConnector.Builder()
                        .address(mAddress)
                        .identity(new EntryIdentity("entry-1", new DataCentreId("north")))
                        .settings(mSettings)
                        .events(mEvents)
                        .config(ConfigSource.of(new ConfigStore(1, 1)))
                        .time(mTime)
                        .listener(new Links())
                        .group(mLoops)
                        .random(new Random(1))
                        .build();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mConnector.close();
        mServer.ifPresent(AgentServer::close);
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private UpstreamLink connect() throws Exception {
        startServer();
        mConnector.start();
        return awaitLink();
    }

    private void startServer() {
        AgentServer server =
                new AgentServer.Builder()
                        .address(mAddress)
                        .identity(
                                new AgentIdentity(
                                        new UpstreamId("upstream-1"),
                                        new GroupId("group"),
                                        new DataCentreId("north"),
                                        1))
                        .settings(mSettings)
                        .events(mEvents)
                        .config(ConfigSource.of(new ConfigStore(1, 1)))
                        .handler(this::onCall)
                        .load(() -> UpstreamLoad.UNKNOWN)
                        .time(mTime)
                        .group(mLoops)
                        .build();
        server.start();
        mServer = Optional.of(server);
    }

    private UpstreamLink awaitLink() throws Exception {
        UpstreamLink link = mLinks.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(link != null, "no connection");
        return link;
    }

    private void onCall(IncomingCall call) {
        int number = call.id().attempt();
        mCalls.put(number, call);
        call.onCancel(() -> onCancelled(number));
        check("call", number);
        if (number != SILENT && !mThrowing.endsWith("refused") && !mThrowing.endsWith("cancel")) {
            call.sendHead(200, "text/plain");
            call.sendChunk(ByteString.copyFromUtf8("body"));
            call.sendEnd(Duration.ZERO, Duration.ZERO, UpstreamLoad.UNKNOWN);
        } else if (mThrowing.endsWith("refused")) {
            call.refuse(Refusal.notRun(RefusalReason.QUEUE_FULL, "full"), UpstreamLoad.UNKNOWN);
        } else {
            mTrace.add("open " + number);
        }
    }

    private void onCancelled(int number) {
        mTrace.add("cancelled " + number);
        check("cancel", number);
    }

    /** Throws in the given method of the first call, if the test wants that. */
    private void check(String method, int number) {
        if (number == FIRST && mThrowing.equals(method)) {
            throw new IllegalStateException(method);
        }
    }

    private void call(UpstreamLink link, int number) {
        Stage stage = new Stage("stage", new GroupId("group"), "/", true, false);
        StageCall call =
                new StageCall.Builder()
                        .id(new AttemptId(new RequestId(0, 1), 0, number))
                        .stage(stage)
                        .team(new TeamId("team"), 1)
                        .deadlineNanos(mTime.nanoTime() + TimeUnit.SECONDS.toNanos(30))
                        .build();
        link.call(call, new Listener(number));
    }

    private List<String> take(int count) throws Exception {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String next = mTrace.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(next != null, "nothing after " + taken);
            taken.add(next);
        }
        return taken;
    }

    /** Returns the method that throws in the first call, and what happens from then on. */
    @DataProvider
    public Object[][] methods() {
        return new Object[][] {
            {"head", List.of("refused INTERNAL 1")},
            {"chunk", List.of("head 1", "refused INTERNAL 1")},
            {"end", List.of("head 1", "chunk 1")},
            {"call", List.of("refused INTERNAL 1")},
        };
    }

    // Guards against calls that lose their connection because another one's callback threw.
    @Test(dataProvider = "methods")
    public void otherCallsOfTheConnectionGetTheirResults(String method, List<String> first)
            throws Exception {
        UpstreamLink link = connect();
        call(link, SILENT);
        assertEquals(take(1), List.of("open 0"));
        mThrowing = method;
        call(link, FIRST);
        assertEquals(take(first.size()), first);
        call(link, SECOND);
        assertEquals(take(3), List.of("head 2", "chunk 2", "end 2"));
        assertEquals(mEvents.mFailures.get(), 1);
        assertEquals(mEvents.mClosed.get(), 0);
        assertEquals(mCalls.size(), 3);
    }

    // Guards against a refusal that costs other calls their connection.
    @Test
    public void refusalWhoseListenerThrowsLeavesTheConnectionOpen() throws Exception {
        UpstreamLink link = connect();
        mThrowing = "refused";
        call(link, FIRST);
        call(link, SECOND);
        assertEquals(take(1), List.of("refused QUEUE_FULL 2"));
        assertEquals(mEvents.mFailures.get(), 1);
        assertEquals(mEvents.mClosed.get(), 0);
    }

    // Guards against calls that wait for ever after the loss of their connection.
    @Test
    public void allCallsLearnOfALostConnection() throws Exception {
        UpstreamLink link = connect();
        mThrowing = "lost cancel";
        call(link, FIRST);
        call(link, SECOND);
        assertEquals(take(2), List.of("open 1", "open 2"));
        mThrowing = "lost";
        mConnector.close();
        List<String> events = new ArrayList<>(take(4));
        events.sort(String::compareTo);
        assertEquals(
                events, List.of("cancelled 1", "cancelled 2", "down", "refused CONNECTION_LOST 2"));
    }

    // Guards against an agent that keeps the slots of calls whose connection was closed.
    @Test
    public void allCallsOfAClosedConnectionAreCancelled() throws Exception {
        UpstreamLink link = connect();
        mThrowing = "cancel";
        call(link, FIRST);
        call(link, SECOND);
        assertEquals(take(2), List.of("open 1", "open 2"));
        mConnector.close();
        List<String> events = new ArrayList<>(take(5));
        events.sort(String::compareTo);
        assertEquals(
                events,
                List.of(
                        "cancelled 1",
                        "cancelled 2",
                        "down",
                        "refused CONNECTION_LOST 1",
                        "refused CONNECTION_LOST 2"));
    }

    // Guards against a connector that never connects again after a callback threw.
    @Test
    public void connectorConnectsAgainAfterItsEventsThrew() throws Exception {
        mEvents.mThrows = true;
        mConnector.start();
        assertEquals(take(1), List.of("closed CONNECT_FAILED"));
        mEvents.mThrows = false;
        startServer();
        awaitLink();
        assertTrue(mEvents.mFailures.get() >= 1);
    }

    // Guards against an exception that is reported as damage to the network.
    @Test
    public void listenerOfTheConnectionThatThrowsIsReportedAndCalledAgain() throws Exception {
        mThrowing = "up";
        startServer();
        mConnector.start();
        assertEquals(take(1), List.of("closed HANDLER_FAILED"));
        mThrowing = "";
        awaitLink();
        assertTrue(mEvents.mFailures.get() >= 1);
    }

    /** Records the events of connections, and throws when told to. */
    private final class Events implements WireEvents {

        private final AtomicInteger mClosed = new AtomicInteger();
        private final AtomicInteger mFailures = new AtomicInteger();
        private volatile boolean mThrows;

        @Override
        public void onClosed(CloseReason reason) {
            mClosed.incrementAndGet();
            boolean throwing = mThrows;
            if (reason == CloseReason.CONNECT_FAILED && throwing
                    || reason == CloseReason.HANDLER_FAILED) {
                mTrace.add("closed " + reason);
            }
            if (throwing) {
                throw new IllegalStateException("events");
            }
        }

        @Override
        public void onUnmatchedResult() {}

        @Override
        public void onCallbackFailed() {
            mFailures.incrementAndGet();
        }
    }

    /** Records connections, and throws when told to. */
    private final class Links implements LinkListener {

        @Override
        public void onUp(UpstreamLink link) {
            check("up", FIRST);
            mLinks.add(link);
        }

        @Override
        public void onDown(UpstreamLink link) {
            mTrace.add("down");
        }
    }

    /** Records what a call receives, and throws when told to. */
    private final class Listener implements CallListener {

        private final int mNumber;

        Listener(int number) {
            mNumber = number;
        }

        private void record(String method, String text) {
            check(method, mNumber);
            mTrace.add(text + " " + mNumber);
        }

        @Override
        public void onHead(int status, String contentType) {
            record("head", "head");
        }

        @Override
        public void onChunk(ByteBuffer data) {
            record("chunk", "chunk");
        }

        @Override
        public void onEnd(CallSummary summary) {
            record("end", "end");
        }

        @Override
        public void onRefused(Refusal refusal) {
            check("lost", mNumber);
            record("refused", "refused " + refusal.reason());
        }
    }
}
