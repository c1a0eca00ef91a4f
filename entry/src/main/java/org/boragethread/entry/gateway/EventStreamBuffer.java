package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events into complete events. A stream that may be resumed at
 * another upstream forwards complete events only, so that the next upstream continues right after
 * the last forwarded event.
 */
final class EventStreamBuffer {

    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String ID_FIELD = "id:";

    private static final Pattern LINE_END = Pattern.compile("\r\n|\n|\r");

    private final ByteBuf mPartial = Unpooled.buffer();
    private EventStreamPosition mPosition = new EventStreamPosition();
    private Optional<String> mLastId = Optional.empty();
    private boolean mSplit;

    /**
     * Adds data and returns the events that it completes; the caller owns the buffer. Of an event
     * that is longer than {@link #MAX_EVENT_BYTES} the part that has arrived is returned.
     */
    ByteBuf append(ByteBuf data) {
        int end = mPartial.readableBytes() + mPosition.advance(data);
        boolean completesEvent = end > mPartial.readableBytes();
        mPartial.writeBytes(data);
        if (completesEvent) {
            ByteBuf events = mPartial.readBytes(end);
            updateLastId(events.toString(StandardCharsets.UTF_8));
            mPartial.discardReadBytes();
            return events;
        }
        if (mPartial.readableBytes() <= MAX_EVENT_BYTES) {
            return Unpooled.EMPTY_BUFFER;
        }
        mSplit = true;
        ByteBuf part = mPartial.copy();
        mPartial.clear();
        return part;
    }

    /** Discards the incomplete event of a stream that broke off. */
    void dropPartial() {
        mPartial.clear();
        mPosition = new EventStreamPosition();
    }

    /** Returns whether every event was returned as a whole, so that its ID tells what follows. */
    boolean isResumable() {
        return !mSplit;
    }

    /** Returns the ID of the last complete event. */
    Optional<String> lastId() {
        return mLastId;
    }

    private void updateLastId(String events) {
        for (String line : LINE_END.split(events)) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
