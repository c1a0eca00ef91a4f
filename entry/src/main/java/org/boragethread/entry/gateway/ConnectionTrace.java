package org.boragethread.entry.gateway;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.stream.Collectors;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.process.log.EventLog;

/** Logs and counts the ends of one caller's connection that no request of it logs. */
final class ConnectionTrace {

    /** Requests named in one line; their number is logged in full. */
    static final int MAX_LOGGED_REQUESTS = 16;

    private static final int MAX_LOGGED_TEXT = 128;

    private final Gateway mGateway;
    private final String mPeer;

    ConnectionTrace(Gateway gateway, Channel channel) {
        mGateway = gateway;
        mPeer = String.valueOf(channel.remoteAddress());
    }

    String peer() {
        return mPeer;
    }

    /** Records that a request was refused before it was fully read. */
    void rejected(RefusalReason reason, String detail, PartialRequest received) {
        mGateway.metrics().onRefused(reason);
        withReceived(line("rejected", received.id()), received)
                .with("reason", reason.label())
                .with("decidedBy", Decider.ofPartial(reason).label())
                .with("detail", shorten(detail))
                .warn();
    }

    /** Records that a connection ended before a request on it was fully read. */
    void abandoned(String cause, PartialRequest received) {
        withReceived(line("not-received", received.id()), received).with("cause", cause).info();
    }

    private static EventLog.Line withReceived(EventLog.Line line, PartialRequest received) {
        return line.with("receiving", received.stage())
                .with("receivedBytes", received.bytes())
                .with("contentLength", received.contentLength())
                .with("method", shorten(received.method()));
    }

    /** Records pipelined requests that were received and will not be processed. */
    void discarded(String cause, List<String> ids) {
        mGateway.metrics().onBrokenConnection("pipelined");
        line("discarded", join(ids)).with("cause", cause).with("requests", ids.size()).warn();
    }

    /**
     * Records an exception that ends the connection.
     *
     * @param id the active request; empty if there is none
     * @param busy whether the connection has an active request or is receiving one
     */
    void failed(Throwable cause, String id, boolean busy) {
        mGateway.metrics().onBrokenConnection("caller-connection");
        StackTraceElement[] stack = cause.getStackTrace();
        EventLog.Line line =
                line("connection-failed", id)
                        .with("cause", cause.getClass().getName())
                        .with("detail", shorten(String.valueOf(cause.getMessage())))
                        .with("at", stack.length > 0 ? stack[0] : "");
        if (busy) {
            line.warn();
        } else {
            line.info();
        }
    }

    /** Records that the end of a response could not be written to the connection. */
    void notDelivered(Throwable cause, String id) {
        mGateway.metrics().onBrokenConnection("response-not-written");
        line("not-delivered", id)
                .with("cause", cause.getClass().getName())
                .with("detail", shorten(String.valueOf(cause.getMessage())))
                .warn();
    }

    private EventLog.Line line(String event, String id) {
        EventLog.Line line =
                id.isEmpty()
                        ? mGateway.log().event(event)
                        : mGateway.log().event(event, shorten(id));
        return line.with("peer", mPeer);
    }

    /** Joins the identifiers of requests as far as they are logged in one line. */
    static String join(List<String> ids) {
        return ids.stream()
                .limit(MAX_LOGGED_REQUESTS)
                .map(id -> id.substring(0, Math.min(MAX_LOGGED_TEXT, id.length())))
                .collect(Collectors.joining(" "));
    }

    private static String shorten(String text) {
        int limit = MAX_LOGGED_TEXT * MAX_LOGGED_REQUESTS;
        return text.substring(0, Math.min(limit, text.length()));
    }

    /**
     * What has arrived of a request that is not complete.
     *
     * @param stage {@code head}, {@code body}, or {@code nothing}
     * @param bytes bytes read from the connection since the request began, framing included
     * @param id identifier of the request; empty if its head has not arrived
     */
    record PartialRequest(
            String stage, long bytes, String id, String method, String contentLength) {

        /** Describes a request whose head has not arrived. */
        static PartialRequest withoutHead(long bytes) {
            return new PartialRequest(bytes > 0 ? "head" : "nothing", bytes, "", "", "");
        }

        /** Describes a request whose body has not arrived, or whose head is not acceptable. */
        static PartialRequest of(HttpRequest head, long bytes) {
            return new PartialRequest(
                    head.decoderResult().isFailure() ? "head" : "body",
                    bytes,
                    head.headers().get(PlatformHeaders.REQUEST_ID, ""),
                    head.method().name(),
                    head.headers().get(HttpHeaderNames.CONTENT_LENGTH, ""));
        }
    }
}
