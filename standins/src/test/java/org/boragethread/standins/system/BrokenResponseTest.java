package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.boragethread.standins.system.ResponseScript.Extent;
import org.boragethread.standins.system.ResponseScript.Framing;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a caller receives if an upstream's response is broken off. */
public class BrokenResponseTest {

    private static final int TIMEOUT_MILLIS = 1500;

    /** Kind of route and content type of a response. */
    private enum Content {
        RESUMABLE_STREAM("streaming", true, "text/event-stream"),
        STREAM("streaming", false, "text/event-stream; charset=utf-8"),
        EVENTS_ON_SAFE_ROUTE("safe", false, "text/event-stream"),
        PLAIN("unsafe", false, "text/plain");

        final String mRouteKind;
        final boolean mResumable;
        final String mType;

        Content(String routeKind, boolean resumable, String type) {
            mRouteKind = routeKind;
            mResumable = resumable;
            mType = type;
        }
    }

    /** One response; each has a route and a group of its own. */
    private record Case(Content content, Framing framing, Extent extent, Ending ending) {

        String name() {
            return "case-" + CASES.indexOf(this);
        }

        String path() {
            return "/" + name() + "/";
        }

        String route() {
            return """
            {"name":"%s","hostname":"127.0.0.1","path_prefix":"%s","kind":"%s","can_resume":%s,
             "timeout_ms":%d,"target_latency_ms":400,"gap_aim_ms":400,"service":"%s",
             "max_attempts":2}"""
                    .formatted(
                            name(),
                            path(),
                            content.mRouteKind,
                            content.mResumable,
                            TIMEOUT_MILLIS,
                            name());
        }
    }

    private static final List<Case> CASES = cases();

    private StoreStandIn mStore;
    private ScriptedUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    private static List<Case> cases() {
        List<Case> cases = new ArrayList<>();
        for (Content content : Content.values()) {
            for (Framing framing : Framing.values()) {
                for (Extent extent : Extent.values()) {
                    for (Ending ending : Ending.values()) {
                        Case candidate = new Case(content, framing, extent, ending);
                        if (isDistinct(candidate)) {
                            cases.add(candidate);
                        }
                    }
                }
            }
        }
        return cases;
    }

    /** Leaves out what does not exist, is another case, or cannot be told from a whole response. */
    private static boolean isDistinct(Case candidate) {
        boolean byConnection = candidate.framing == Framing.CONNECTION_END;
        boolean plain = candidate.content == Content.PLAIN;
        return switch (candidate.extent) {
            case WHOLE, WHOLE_WITH_PAUSE ->
                    byConnection
                            ? candidate.ending == Ending.CLOSE
                            : candidate.ending != Ending.RESET;
            case INSIDE_HEAD -> true;
            case INSIDE_EVENT -> !(byConnection && plain && candidate.ending == Ending.CLOSE);
            case INSIDE_EVENT_FRAMED_AS_COMPLETE ->
                    !byConnection && !plain && candidate.ending != Ending.RESET;
            case EMPTY_FRAMED_AS_COMPLETE ->
                    byConnection && !plain && candidate.ending == Ending.CLOSE;
            case BETWEEN_EVENTS -> !(byConnection && candidate.ending == Ending.CLOSE);
            case INSIDE_CHUNK_SIZE -> candidate.framing == Framing.CHUNKED;
            case BEFORE_END_OF_FRAMING -> !(byConnection && candidate.ending == Ending.CLOSE);
        };
    }

    @DataProvider(parallel = true)
    private static Iterator<Object[]> responses() {
        return CASES.stream().map(response -> new Object[] {response}).iterator();
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new ScriptedUpstream(BrokenResponseTest::script);
        CASES.forEach(
                response ->
                        mStore.put(
                                StoreStandIn.UPSTREAM_TOPIC,
                                response.name(),
                                mUpstream.announcement(response.name())));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", config());
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    private static String config() {
        String routes = CASES.stream().map(Case::route).collect(Collectors.joining(","));
        String groups =
                CASES.stream()
                        .map(
                                response ->
                                        "{\"name\":\"%s\",\"max_conns\":100}"
                                                .formatted(response.name()))
                        .collect(Collectors.joining(","));
        return """
        {"version":1,"routes":[%s],"services":[%s],
         "limits":{"header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
         "tenants":[{"name":"team-1","api_keys":["key-1"]}]}"""
                .formatted(routes, groups);
    }

    private static ResponseScript script(ScriptedUpstream.Request request) {
        for (Case response : CASES) {
            if (request.path().equals(response.path())) {
                return ResponseScript.of(
                        request.id(),
                        response.content.mType,
                        response.framing,
                        response.extent,
                        response.ending);
            }
        }
        throw new IllegalArgumentException("no script for " + request.path());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mUpstream.close();
    }

    /** A stream that was broken off inside an event reached its caller as a complete response. */
    @Test(dataProvider = "responses")
    public void brokenResponseNeverLooksComplete(Case response) throws Exception {
        HttpResponse<String> received;
        try {
            received = mGateway.postWithKey(response.path(), "id-" + response.name());
        } catch (IOException e) {
            assertTrue(!response.extent.isWhole(), "whole response was cut off: " + e);
            return;
        }
        if (response.extent.isWhole()) {
            assertEquals(received.statusCode(), 200, received.body());
            assertEquals(received.body(), ResponseScript.EVENTS);
            return;
        }
        assertTrue(received.statusCode() >= 500, received.statusCode() + " " + received.body());
        assertNotEquals(received.statusCode(), 503, "the request ran");
    }
}
