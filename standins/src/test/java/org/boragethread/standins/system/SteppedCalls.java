package org.boragethread.standins.system;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.system.SteppedUpstream.Call;

/** Upstreams whose responses a test writes, and the calls that have arrived there. */
final class SteppedCalls implements AutoCloseable {

    private static final String HEAD =
            """
            HTTP/1.1 %s\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Response-Seal: seal\r
            Content-Type: %s\r
            Connection: close\r
            \r
            """;

    private final List<Call> mCalls = new CopyOnWriteArrayList<>();
    private final List<SteppedUpstream> mUpstreams = new ArrayList<>();

    /** Returns the head of an event stream whose body ends with the connection. */
    static String streamHead(String id) {
        return head("200 OK", id, "text/event-stream");
    }

    /** Returns the head of a response whose body ends with the connection. */
    static String head(String status, String id, String contentType) {
        return HEAD.formatted(status, id, contentType);
    }

    /** Returns the head of a response whose body has a length. */
    static String head(String status, String id, int length) {
        return head(status, id, "text/plain")
                .replace("Connection:", "Content-Length: " + length + "\r\nConnection:");
    }

    SteppedUpstream addUpstream() throws IOException {
        SteppedUpstream upstream = new SteppedUpstream(mCalls::add);
        mUpstreams.add(upstream);
        return upstream;
    }

    /** Returns the calls for a request in the order of their arrival. */
    List<Call> of(String id) {
        return mCalls.stream().filter(call -> call.id().equals(id)).toList();
    }

    Call await(String id, int index) {
        String what = "call " + index + " of " + id;
        Await.until(what, TestGateway.TIMEOUT, () -> of(id).size() > index);
        return of(id).get(index);
    }

    @Override
    public void close() throws IOException {
        for (SteppedUpstream upstream : mUpstreams) {
            upstream.close();
        }
    }
}
