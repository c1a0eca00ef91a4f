package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests requests of a planned stop whose upstream falls silent, by the time at which they come. */
public class LateInGraceTest {

    private static final Duration GRACE_PERIOD = Duration.ofSeconds(10);

    /** A request sent up to this time after the signal may be cut off at the end. */
    private static final Duration EXCUSED = Duration.ofSeconds(3);

    private static final Duration STEP = Duration.ofMillis(300);
    private static final int STEPS = (int) (GRACE_PERIOD.toMillis() / STEP.toMillis());

    /** A refusal needs no other process. */
    private static final Duration IMMEDIATE = Duration.ofMillis(1000);

    /** Responses that show the entry how long the group takes. */
    private static final int EARLIER = 30;

    private static final List<String> KINDS = List.of("unsafe", "safe", "streaming");

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%1$s",
             "timeout_ms":30000,"target_latency_ms":400,"gap_aim_ms":400,"service":"engines",
             "max_attempts":1}""";

    private static final String REQUEST =
            """
            POST /%s/x HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: %s\r
            Content-Length: 4\r
            \r
            body""";

    private static final String EVENT = "id: 1\ndata: one\n\n";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final Set<String> mArrived = ConcurrentHashMap.newKeySet();
    private final List<Late> mLate = new ArrayList<>();
    private volatile boolean mSilent;
    private StoreStandIn mStore;
    private ScriptedUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /**
     * A request and its end.
     *
     * @param after time from the signal until it was sent
     * @param lines what arrived until the connection ended
     * @param time time from sending it until the connection ended
     */
    private record Late(String id, String kind, Duration after, List<String> lines, Duration time) {

        boolean hasBegunLate() {
            return id.startsWith("late-");
        }

        boolean isAnswered() {
            return !lines.isEmpty();
        }

        String status() {
            return isAnswered() ? lines.get(0).split(" ")[1] : "none";
        }
    }

    @BeforeClass
    public void stopWithLateRequests() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new ScriptedUpstream(0, this::respond);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "engines-1", mUpstream.announcement("engines"));
        List<String> routes = KINDS.stream().map(ROUTE::formatted).toList();
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                        .formatted(
                                String.join(",", routes),
                                "{\"name\":\"engines\",\"max_conns\":200}",
                                "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}"));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), GRACE_PERIOD, "");
        for (int i = 0; i < EARLIER; i++) {
            for (String kind : KINDS) {
                String id = "earlier-" + kind + i;
                assertEquals(mGateway.postWithKey("/" + kind + "/x", id).statusCode(), 200);
            }
        }
        Deque<Socket> begun = new ArrayDeque<>();
        for (int i = 0; i < STEPS; i++) {
            for (String kind : KINDS) {
                begun.add(sendAllButTheLastByte(kind, "slow-" + kind + "-" + i));
            }
        }
        // Connections are read in the order in which they were accepted.
        assertEquals(mGateway.postWithKey("/safe/x", "last").statusCode(), 200);
        mSilent = true;
        mGateway.process().terminate();
        long signalAt = System.nanoTime();
        List<Future<Late>> late = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            for (String kind : KINDS) {
                Socket caller = new Socket("127.0.0.1", mGateway.port());
                long sendAt = signalAt + STEP.toNanos() * i;
                String id = "late-" + kind + "-" + i;
                late.add(mThreads.submit(() -> send(caller, kind, id, signalAt, sendAt, 0)));
                Socket slow = begun.remove();
                String slowId = "slow-" + kind + "-" + i;
                int sent = REQUEST.formatted(kind, slowId).length() - 1;
                late.add(mThreads.submit(() -> send(slow, kind, slowId, signalAt, sendAt, sent)));
            }
        }
        for (Future<Late> request : late) {
            mLate.add(request.get());
        }
    }

    @AfterClass(alwaysRun = true)
    public void close() throws Exception {
        mHarness.close();
        mStore.close();
        mUpstream.close();
        mThreads.shutdownNow();
    }

    private void respond(ScriptedUpstream.Request request, Socket connection) throws IOException {
        mArrived.add(request.id());
        boolean stream = request.path().startsWith("/streaming/");
        String body = stream ? EVENT : "ok";
        String response = SteppedCalls.head("200 OK", request.id(), body.length()) + body;
        if (!mSilent) {
            write(connection, response);
        } else if (stream) {
            // A stream whose upstream falls silent after its head and a first event.
            String head = SteppedCalls.head("200 OK", request.id(), 10 * EVENT.length());
            write(connection, head + EVENT);
        }
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private Socket sendAllButTheLastByte(String kind, String id) throws IOException {
        Socket caller = new Socket("127.0.0.1", mGateway.port());
        String request = REQUEST.formatted(kind, id);
        write(caller, request.substring(0, request.length() - 1));
        return caller;
    }

    /** Sends a request from a character on at a time, and reads until its connection ends. */
    private Late send(Socket caller, String kind, String id, long signalAt, long sendAt, int from) {
        LockSupport.parkNanos(sendAt - System.nanoTime());
        long sentAt = System.nanoTime();
        List<String> lines = new ArrayList<>();
        try (caller) {
            write(caller, REQUEST.formatted(kind, id).substring(from));
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    caller.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lines.add(line);
            }
        } catch (IOException e) {
            // The connection was closed or reset; what arrived before counts.
            mArrived.add("closed-" + id);
        }
        Duration time = Duration.ofNanos(System.nanoTime() - sentAt);
        return new Late(id, kind, Duration.ofNanos(sentAt - signalAt), lines, time);
    }

    // Guards against a request that is passed on late in a stop and cut off at its end.
    @Test
    public void noRequestIsPassedOnLaterThanIsExcused() {
        List<String> passedOn =
                mLate.stream()
                        .filter(late -> late.after().compareTo(EXCUSED) > 0)
                        // Others get a whole answer at the end, and can be expected to end before.
                        .filter(late -> late.hasBegunLate() || late.kind().equals("streaming"))
                        .filter(late -> mArrived.contains(late.id()))
                        .map(late -> late.id() + " after " + late.after())
                        .toList();
        assertEquals(passedOn, List.of());
    }

    // Guards against a request that may not be repeated and has no answer at the end of a stop.
    @Test
    public void requestThatWasPassedOnIsAnswered() {
        for (Late late : mLate) {
            if (mArrived.contains(late.id()) && !late.kind().equals("streaming")) {
                assertEquals(late.status(), "502", late.id() + " " + late.lines());
                assertTrue(late.lines().toString().contains("\"ran\":\"unknown\""), late.id());
            }
        }
    }

    // Guards against a request that waits for the end of a stop before it is refused.
    @Test
    public void requestThatIsNotPassedOnIsRefusedAtOnceAsNotRun() {
        int refused = 0;
        for (Late late : mLate) {
            if (late.isAnswered() && !mArrived.contains(late.id())) {
                refused++;
                assertEquals(late.status(), "503", late.id());
                assertTrue(late.lines().toString().contains("\"ran\":\"no\""), late.id());
                assertTrue(late.time().compareTo(IMMEDIATE) < 0, late.id() + " " + late.time());
            }
        }
        assertTrue(refused > 0, "no request was refused");
    }
}
