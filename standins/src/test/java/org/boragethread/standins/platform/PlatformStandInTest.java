package org.boragethread.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.HttpCalls;
import org.boragethread.standins.http.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the stand-in implements the platform's protocol. */
public final class PlatformStandInTest {

    private static final String STREAM = "/v1/streams/config/records";

    private ManualClock mClock;
    private PlatformStandIn mPlatform;
    private HttpCalls mCalls;

    @BeforeMethod
    public void start() throws IOException {
        mClock = new ManualClock();
        PlatformSettings settings = new PlatformSettings(0, 1000, 3, 1);
        mPlatform = PlatformStandIn.start(settings, mClock);
        mCalls = new HttpCalls(mPlatform.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mPlatform.close();
    }

    @Test
    public void appendAnswersOffsetsInOrder() throws Exception {
        assertEquals(append("a", "b").body(), "{\"offsets\":[0,1]}");
        assertEquals(append("c").body(), "{\"offsets\":[2]}");
    }

    @Test
    public void readReturnsRecordsFromOffset() throws Exception {
        append("a", "b");
        JsonNode answer = read(1);
        assertEquals(answer.get("first").asLong(), 0);
        assertEquals(answer.get("next").asLong(), 2);
        assertEquals(answer.get("records").size(), 1);
        JsonNode stored = answer.get("records").get(0);
        assertEquals(stored.get("id").asText(), "b");
        assertEquals(stored.get("data").asText(), "aGk=");
        assertEquals(stored.get("timeMs").asLong(), mClock.millis());
    }

    @Test
    public void repeatedAppendStoresSecondRecord() throws Exception {
        append("a");
        append("a");
        assertEquals(read(0).get("records").size(), 2);
    }

    @Test
    public void longPollReturnsOnNextAppend() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        CompletableFuture<HttpResponse<String>> waiting =
                client.sendAsync(
                        mCalls.request(STREAM + "?from=0&waitMs=15000").build(),
                        BodyHandlers.ofString());
        append("a");
        String body = waiting.get(10, TimeUnit.SECONDS).body();
        assertEquals(Json.MAPPER.readTree(body).get("records").size(), 1);
    }

    @Test
    public void recordsExpireByCount() throws Exception {
        append("a", "b", "c", "d");
        HttpResponse<String> answer = mCalls.get(STREAM + "?from=0");
        assertEquals(answer.statusCode(), 410);
        assertEquals(answer.body(), "{\"first\":1,\"next\":4}");
    }

    @Test
    public void recordsExpireByAge() throws Exception {
        append("a");
        mClock.advance(1001);
        assertEquals(mCalls.get(STREAM + "?from=0").statusCode(), 410);
        assertEquals(read(1).get("records").size(), 0);
    }

    @Test
    public void appendsAboveRateAreRefused() throws Exception {
        mCalls.post("/control", "{\"appendsPerSecond\":20}");
        assertEquals(append("a").statusCode(), 200);
        assertEquals(append("b").statusCode(), 200);
        HttpResponse<String> refused = append("c");
        assertEquals(refused.statusCode(), 503);
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        mClock.advance(50);
        assertEquals(append("d").statusCode(), 200);
        assertEquals(mPlatform.stats().refusedAppends(), 1);
    }

    @Test
    public void appendWithLostAnswerIsStored() throws Exception {
        mCalls.post("/control", "{\"loseAnswers\":1}");
        assertThrows(IOException.class, () -> append("a"));
        assertFalse(mPlatform.records("config").isEmpty());
    }

    @Test
    public void unavailableLogAnswers503AndKeepsRecords() throws Exception {
        append("a");
        mCalls.post("/control", "{\"down\":true}");
        assertEquals(append("b").statusCode(), 503);
        assertEquals(mCalls.get(STREAM + "?from=0").statusCode(), 503);
        mCalls.post("/control", "{\"down\":false}");
        assertEquals(read(0).get("records").size(), 1);
    }

    @Test
    public void vmListIsDelayed() throws Exception {
        mCalls.post("/control", "{\"vmLagMs\":500}");
        mPlatform.setVms(List.of(new Vm("vm-1", "127.0.0.1", 7001, "florida", "live")));
        assertEquals(vms().size(), 0);
        mClock.advance(500);
        assertEquals(vms().get(0).get("dataCentre").asText(), "florida");
    }

    @Test
    public void unknownFaultIsRejected() throws Exception {
        assertEquals(mCalls.post("/control", "{\"broken\":true}").statusCode(), 400);
    }

    private HttpResponse<String> append(String... ids) throws Exception {
        StringBuilder records = new StringBuilder();
        for (String id : ids) {
            records.append(records.isEmpty() ? "" : ",");
            records.append("{\"id\":\"%s\",\"data\":\"aGk=\"}".formatted(id));
        }
        return mCalls.post(STREAM, "{\"records\":[" + records + "]}");
    }

    private JsonNode read(long from) throws Exception {
        return Json.MAPPER.readTree(mCalls.get(STREAM + "?from=" + from).body());
    }

    private JsonNode vms() throws Exception {
        return Json.MAPPER.readTree(mCalls.get("/v1/vms").body()).get("vms");
    }
}
