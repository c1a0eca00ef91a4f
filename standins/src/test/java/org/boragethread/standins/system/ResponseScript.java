package org.boragethread.standins.system;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * The bytes of a scripted response and how its connection ends.
 *
 * @param bytes head and body as they are sent
 * @param pauseAt number of bytes after which sending pauses, if it does
 * @param ending how the connection ends after the bytes
 */
record ResponseScript(byte[] bytes, Optional<Integer> pauseAt, Ending ending) {

    /** Longer than the time between two reads, shorter than any timeout of the tests. */
    static final Duration PAUSE = Duration.ofMillis(150);

    /** How a connection ends. */
    enum Ending {
        CLOSE,
        RESET,
        /** It stays open without further bytes. */
        STAY_OPEN
    }

    /** How the end of the body is determined. */
    enum Framing {
        CONTENT_LENGTH,
        CHUNKED,
        CONNECTION_END
    }

    /** Where a response ends. */
    enum Extent {
        WHOLE,
        WHOLE_WITH_PAUSE,
        INSIDE_HEAD,
        /** Inside the last event of a stream, or the last line of another body. */
        INSIDE_EVENT,
        /** As INSIDE_EVENT, but the framing says that the body is complete. */
        INSIDE_EVENT_FRAMED_AS_COMPLETE,
        /** No byte of the body, and the framing says that the body is complete. */
        EMPTY_FRAMED_AS_COMPLETE,
        BETWEEN_EVENTS,
        INSIDE_CHUNK_SIZE,
        /** After the last byte of the body, before the framing says that it is complete. */
        BEFORE_END_OF_FRAMING;

        boolean isWhole() {
            return this == WHOLE || this == WHOLE_WITH_PAUSE;
        }
    }

    static final String EVENTS = "id: 0\ndata: one\n\nid: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    private static final int SECOND_EVENT_END = EVENTS.indexOf("id: 2");
    private static final int INSIDE_LAST_EVENT = EVENTS.length() - 5;

    /** Returns a response to a request, with the events as its body. */
    static ResponseScript of(
            String requestId, String contentType, Framing framing, Extent extent, Ending ending) {
        String connection = ending == Ending.STAY_OPEN ? "keep-alive" : "close";
        String head = head(requestId, contentType, connection, framing, extent);
        String body = body(framing, extent);
        String all = extent == Extent.INSIDE_HEAD ? head.substring(0, 40) : head + body;
        Optional<Integer> pauseAt =
                extent == Extent.WHOLE_WITH_PAUSE
                        ? Optional.of(head.length() + body.length() / 2)
                        : Optional.empty();
        return new ResponseScript(all.getBytes(StandardCharsets.US_ASCII), pauseAt, ending);
    }

    private static String head(
            String requestId,
            String contentType,
            String connection,
            Framing framing,
            Extent extent) {
        String framingHeader =
                switch (framing) {
                    case CONTENT_LENGTH -> "Content-Length: " + declaredLength(extent) + "\r\n";
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                    case CONNECTION_END -> "";
                };
        return """
        HTTP/1.1 200 OK\r
        X-Boragethread-Request-Id: %s\r
        X-Boragethread-Response-Seal: seal-%s\r
        Content-Type: %s\r
        Connection: %s\r
        """
                        .formatted(requestId, requestId, contentType, connection)
                + framingHeader
                + "\r\n";
    }

    private static int declaredLength(Extent extent) {
        return switch (extent) {
            case INSIDE_EVENT_FRAMED_AS_COMPLETE, EMPTY_FRAMED_AS_COMPLETE ->
                    content(extent).length();
            case BEFORE_END_OF_FRAMING -> EVENTS.length() + 1;
            default -> EVENTS.length();
        };
    }

    private static String content(Extent extent) {
        return switch (extent) {
            case WHOLE, WHOLE_WITH_PAUSE, BEFORE_END_OF_FRAMING -> EVENTS;
            case INSIDE_EVENT, INSIDE_EVENT_FRAMED_AS_COMPLETE ->
                    EVENTS.substring(0, INSIDE_LAST_EVENT);
            case BETWEEN_EVENTS, INSIDE_CHUNK_SIZE -> EVENTS.substring(0, SECOND_EVENT_END);
            case INSIDE_HEAD, EMPTY_FRAMED_AS_COMPLETE -> "";
        };
    }

    private static String body(Framing framing, Extent extent) {
        String content = content(extent);
        if (framing != Framing.CHUNKED) {
            return content;
        }
        String chunks =
                content.isEmpty()
                        ? ""
                        : Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
        return switch (extent) {
            case WHOLE,
                            WHOLE_WITH_PAUSE,
                            INSIDE_EVENT_FRAMED_AS_COMPLETE,
                            EMPTY_FRAMED_AS_COMPLETE ->
                    chunks + "0\r\n\r\n";
            case INSIDE_CHUNK_SIZE -> chunks + "1";
            default -> chunks;
        };
    }
}
