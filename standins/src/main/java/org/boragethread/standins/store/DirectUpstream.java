package org.boragethread.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.boragethread.standins.http.Answer;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInServer;

/**
 * An upstream that entries call directly. It is an engine, a plain service and a maker of pieces in
 * one; the last part of a request's path says how it behaves.
 */
public final class DirectUpstream implements AutoCloseable {

    private static final String SEAL = "X-Boragethread-Response-Seal";
    private static final String REQUEST_ID = "X-Boragethread-Request-Id";
    private static final String EXPECTED = "X-Boragethread-Expect-Instance";
    private static final String NOT_EXECUTED = "X-Boragethread-Not-Executed";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final String mId;
    private final String mGroup;
    private final StandInServer mServer;
    private final List<String> mRan = new CopyOnWriteArrayList<>();
    private final List<String> mTeams = new CopyOnWriteArrayList<>();
    private final List<String> mInputs = new CopyOnWriteArrayList<>();
    private final List<String> mFreed = new CopyOnWriteArrayList<>();
    private volatile boolean mFull;

    /** Makes an upstream that is not started. */
    public DirectUpstream(String id, String group) {
        mId = id;
        mGroup = group;
        mServer = new StandInServer(id, 1, this::handle);
    }

    /** Starts to listen on a free port. */
    public void start() throws IOException {
        mServer.start(0);
    }

    /** Returns what it announces in the store. */
    public String announcement(boolean leaving) {
        return """
        {"service":"%s","address":"%s","zone":"north","state":"%s","cold_left_ms":0,"seq":1}"""
                .formatted(mGroup, mServer.address(), leaving ? "draining" : "ready");
    }

    /** Returns the identities of the requests that it has run. */
    public List<String> ran() {
        return mRan;
    }

    /** Returns the teams named by the requests that it has run. */
    public List<String> teams() {
        return mTeams;
    }

    /** Returns the results that the requests brought. */
    public List<String> inputs() {
        return mInputs;
    }

    /** Returns the results that were freed. */
    public List<String> freed() {
        return mFreed;
    }

    /** Lets it reject everything, or work again. */
    public void setFull(boolean full) {
        mFull = full;
    }

    private void handle(Exchange exchange) {
        String expected = exchange.header(EXPECTED).orElse(mId);
        if (!expected.equals(mId)) {
            exchange.answer(Answer.text(421, "another instance"));
            return;
        }
        switch (exchange.path()) {
            case "/v1/stage-run" -> makePieces(exchange);
            case "/v1/stage-free" -> free(exchange);
            default -> serve(exchange);
        }
    }

    private void serve(Exchange exchange) {
        String id = exchange.header(REQUEST_ID).orElse("");
        if (mFull) {
            exchange.answer(Answer.text(503, "full").with(NOT_EXECUTED, "1"));
            return;
        }
        mRan.add(id);
        exchange.header("X-Boragethread-Tenant").ifPresent(mTeams::add);
        exchange.header("X-Boragethread-Inputs").ifPresent(mInputs::add);
        String path = exchange.path();
        if (path.endsWith("/lost")) {
            exchange.abort();
            return;
        }
        if (path.endsWith("/half")) {
            exchange.answerHalf(answer(id));
            return;
        }
        if (path.endsWith("/unsigned")) {
            exchange.answer(Answer.text(200, "forged").with(REQUEST_ID, id));
            return;
        }
        if (path.endsWith("/silent")) {
            return;
        }
        exchange.answer(answer(id));
    }

    private Answer answer(String id) {
        return Answer.text(200, "answer to " + id + " from " + mId)
                .with(REQUEST_ID, id)
                .with(SEAL, "seal-" + id);
    }

    private void makePieces(Exchange exchange) {
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
        exchange.answer(Answer.json(200, Map.of("items", results)));
    }

    private void free(Exchange exchange) {
        parse(exchange).path("handles").forEach(handle -> mFreed.add(handle.asText()));
        exchange.answer(Answer.json(200, Map.of()));
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
