package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events. A stream that may be resumed at
 * another upstream forwards complete events only, so that the next upstream continues right after
 * the last forwarded event.
 */
final class EventStreamBuffer {

    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String ID_FIELD = "id:";

    private final ByteBuf mPartial = Unpooled.buffer();
    private Optional<String> mLastId = Optional.empty();
    private int mScannedIndex;

    /** Adds data and returns the events that it completes; the caller owns the buffer. */
    ByteBuf append(ByteBuf data) {
        mPartial.writeBytes(data);
        int end = findLastEventEnd();
        if (end < 0) {
            return mPartial.readableBytes() > MAX_EVENT_BYTES
                    ? takeRemaining()
                    : Unpooled.EMPTY_BUFFER;
        }
        ByteBuf events = mPartial.readBytes(end - mPartial.readerIndex());
        updateLastId(events.toString(StandardCharsets.UTF_8));
        mPartial.discardReadBytes();
        mScannedIndex = 0;
        return events;
    }

    /** Removes and returns the data after the last complete event. */
    ByteBuf takeRemaining() {
        ByteBuf remaining = mPartial.copy();
        mPartial.clear();
        mScannedIndex = 0;
        return remaining;
    }

    /** Discards the incomplete event of a stream that broke off. */
    void dropPartial() {
        mPartial.clear();
        mScannedIndex = 0;
    }

    /** Returns the ID of the last complete event. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns the index after the last blank line, which ends an event, or -1 if there is none. */
    private int findLastEventEnd() {
        int end = -1;
        for (int i = Math.max(1, mScannedIndex); i < mPartial.writerIndex(); i++) {
            if (mPartial.getByte(i) != '\n') {
                continue;
            }
            byte previous = mPartial.getByte(i - 1);
            boolean blank =
                    previous == '\n'
                            || previous == '\r' && i > 1 && mPartial.getByte(i - 2) == '\n';
            if (blank) {
                end = i + 1;
            }
        }
        mScannedIndex = mPartial.writerIndex();
        return end;
    }

    private void updateLastId(String events) {
        for (String line : events.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
