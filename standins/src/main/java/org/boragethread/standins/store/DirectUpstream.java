package org.boragethread.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInResponse;
import org.boragethread.standins.http.StandInServer;

/**
 * Stand-in for an upstream that entries call directly. It answers single requests, runs batches of
 * pieces and returns handles of their results. The end of a single request's path can select a
 * fault: {@code /lost}, {@code /half}, {@code /unsigned} or {@code /silent}.
 */
public final class DirectUpstream implements AutoCloseable {

    private static final String SEAL = "X-Boragethread-Response-Seal";
    private static final String REQUEST_ID = "X-Boragethread-Request-Id";
    private static final String EXPECTED_INSTANCE = "X-Boragethread-Expect-Instance";
    private static final String NOT_EXECUTED = "X-Boragethread-Not-Executed";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final String mId;
    private final String mGroup;
    private final StandInServer mServer;
    private final List<String> mExecutedRequestIds = new CopyOnWriteArrayList<>();
    private final List<String> mExecutedTeams = new CopyOnWriteArrayList<>();
    private final List<String> mInputHeaders = new CopyOnWriteArrayList<>();
    private final List<String> mReleasedHandles = new CopyOnWriteArrayList<>();
    private final AtomicInteger mReceivedRequests = new AtomicInteger();
    private volatile boolean mRejecting;
    private volatile String mPauseSeconds = "";
    private volatile boolean mLeaving;
    private volatile Duration mBatchTime = Duration.ZERO;

    /** Creates an upstream that is not yet listening. */
    public DirectUpstream(String id, String group) {
        mId = id;
        mGroup = group;
        mServer = new StandInServer(id, 1, this::handle);
    }

    /** Starts listening on a free port. */
    public void start() throws IOException {
        mServer.start(0);
    }

    /** Returns the value of this upstream's announcement in the store. */
    public String announcement(boolean leaving) {
        return """
        {"service":"%s","address":"%s","zone":"north","state":"%s",
         "version":"v1","slots":64,"cold_left_ms":0,"seq":1}"""
                .formatted(mGroup, mServer.address(), leaving ? "draining" : "ready");
    }

    /** Returns the IDs of the executed requests. */
    public List<String> executedRequestIds() {
        return mExecutedRequestIds;
    }

    /** Returns the teams of the executed requests. */
    public List<String> executedTeams() {
        return mExecutedTeams;
    }

    /** Returns the input headers of the executed requests. */
    public List<String> inputHeaders() {
        return mInputHeaders;
    }

    /** Returns the handles of the results that entries have released. */
    public List<String> releasedHandles() {
        return mReleasedHandles;
    }

    /** Sets whether every single request is rejected as not executed. */
    public void setRejecting(boolean rejecting) {
        mRejecting = rejecting;
    }

    /** Sets the Retry-After of rejections; empty for none. */
    public void setPause(String seconds) {
        mPauseSeconds = seconds;
    }

    /** Sets the time that a batch of pieces takes. */
    public void setBatchTime(Duration time) {
        mBatchTime = time;
    }

    /** Sets whether responses say that this upstream is leaving. */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Returns the number of requests and calls that have arrived. */
    public int receivedRequests() {
        return mReceivedRequests.get();
    }

    private void handle(Exchange exchange) {
        mReceivedRequests.incrementAndGet();
        String expected = exchange.header(EXPECTED_INSTANCE).orElse(mId);
        if (!expected.equals(mId)) {
            exchange.respond(StandInResponse.text(421, "another instance"));
            return;
        }
        switch (exchange.path()) {
            case "/v1/stage-run" -> runStageBatch(exchange);
            case "/v1/stage-free" -> releaseResults(exchange);
            default -> serveRequest(exchange);
        }
    }

    private void serveRequest(Exchange exchange) {
        String id = exchange.header(REQUEST_ID).orElse("");
        if (mRejecting) {
            exchange.respond(rejection());
            return;
        }
        mExecutedRequestIds.add(id);
        exchange.header("X-Boragethread-Tenant").ifPresent(mExecutedTeams::add);
        exchange.header("X-Boragethread-Inputs").ifPresent(mInputHeaders::add);
        String path = exchange.path();
        if (path.endsWith("/lost")) {
            exchange.abort();
            return;
        }
        if (path.endsWith("/half")) {
            exchange.respondHalf(answer(id));
            return;
        }
        if (path.endsWith("/unsigned")) {
            exchange.respond(StandInResponse.text(200, "forged").with(REQUEST_ID, id));
            return;
        }
        if (path.endsWith("/silent")) {
            return;
        }
        exchange.respond(answer(id));
    }

    private StandInResponse rejection() {
        StandInResponse rejection = StandInResponse.text(503, "full").with(NOT_EXECUTED, "1");
        return mPauseSeconds.isEmpty() ? rejection : rejection.with("Retry-After", mPauseSeconds);
    }

    private StandInResponse answer(String id) {
        StandInResponse answer = wholeAnswer(id);
        return mLeaving ? answer.with("Server-Leaving", "1") : answer;
    }

    private StandInResponse wholeAnswer(String id) {
        return StandInResponse.text(200, "answer to " + id + " from " + mId)
                .with(REQUEST_ID, id)
                .with(SEAL, "seal-" + id);
    }

    private void runStageBatch(Exchange exchange) {
        List<Map<String, String>> results = new ArrayList<>();
        for (JsonNode item : parse(exchange).path("items")) {
            String handle =
                    "%s/%s-%s-%s"
                            .formatted(
                                    mServer.address(),
                                    item.path("id").asText(),
                                    item.path("stage").asText(),
                                    item.path("piece").asText());
            results.add(Map.of("handle", handle));
        }
        StandInResponse response = StandInResponse.json(200, Map.of("items", results));
        if (mBatchTime.isZero()) {
            exchange.respond(response);
            return;
        }
        CompletableFuture.delayedExecutor(mBatchTime.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> exchange.respond(response));
    }

    private void releaseResults(Exchange exchange) {
        parse(exchange).path("handles").forEach(handle -> mReleasedHandles.add(handle.asText()));
        exchange.respond(StandInResponse.json(200, Map.of()));
    }

    private JsonNode parse(Exchange exchange) {
        try {
            return mMapper.readTree(new String(exchange.body(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        mServer.close();
    }
}
