package org.boragethread.core.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Incremental parser that splits a byte stream into server-sent events of the HTML standard. */
final class ServerSentEventParser {

    /** Maximum length of one event, in bytes. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private boolean mLineEmpty = true;

    /**
     * Consumes bytes of the stream.
     *
     * @return the events that these bytes complete
     * @throws IllegalStateException if an event is longer than {@link #MAX_EVENT_BYTES}
     */
    List<ServerSentEvent> parse(ByteBuffer data) {
        List<ServerSentEvent> events = new ArrayList<>();
        while (data.hasRemaining()) {
            byte next = data.get();
            if (next == '\r') {
                continue;
            }
            mEvent.write(next);
            if (next != '\n') {
                mLineEmpty = false;
                continue;
            }
            if (mLineEmpty) {
                addCompleteEvent(events);
            }
            mLineEmpty = true;
        }
        if (mEvent.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException(
                    "a server-sent event is longer than %d bytes".formatted(MAX_EVENT_BYTES));
        }
        return events;
    }

    private void addCompleteEvent(List<ServerSentEvent> events) {
        byte[] bytes = mEvent.toByteArray();
        mEvent.reset();
        if (bytes.length > 1) {
            events.add(new ServerSentEvent(bytes));
        }
    }
}
