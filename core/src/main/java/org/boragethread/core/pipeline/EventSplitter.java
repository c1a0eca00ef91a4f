package org.boragethread.core.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into server-sent events, as the HTML standard defines them. */
final class EventSplitter {

    /** Greatest length of one event, in bytes. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private boolean mLineEmpty = true;

    /**
     * Adds bytes.
     *
     * @return the events that are now complete
     * @throws IllegalStateException if an event is longer than {@link #MAX_EVENT_BYTES}
     */
    List<ServerEvent> add(ByteBuffer data) {
        List<ServerEvent> events = new ArrayList<>();
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
                take(events);
            }
            mLineEmpty = true;
        }
        if (mEvent.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException(
                    "an event is longer than %d bytes".formatted(MAX_EVENT_BYTES));
        }
        return events;
    }

    private void take(List<ServerEvent> events) {
        byte[] bytes = mEvent.toByteArray();
        mEvent.reset();
        if (bytes.length > 1) {
            events.add(new ServerEvent(bytes));
        }
    }
}
