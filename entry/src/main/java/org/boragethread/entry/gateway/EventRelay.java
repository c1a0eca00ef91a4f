package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Passes on the events of a stream that may go on at another upstream: whole events only, so that
 * the next upstream's first event follows the last one passed on.
 */
final class EventRelay {

    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String ID_FIELD = "id:";

    private final ByteBuf mPartial = Unpooled.buffer();
    private Optional<String> mLastId = Optional.empty();
    private int mSearched;

    /** Adds data and returns the whole events that it completes; the caller owns the buffer. */
    ByteBuf add(ByteBuf data) {
        mPartial.writeBytes(data);
        int end = findEnd();
        if (end < 0) {
            return mPartial.readableBytes() > MAX_EVENT_BYTES ? takeRest() : Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = mPartial.readBytes(end - mPartial.readerIndex());
        findLastId(whole.toString(StandardCharsets.UTF_8));
        mPartial.discardReadBytes();
        mSearched = 0;
        return whole;
    }

    /** Returns what follows the last whole event. */
    ByteBuf takeRest() {
        ByteBuf rest = mPartial.copy();
        mPartial.clear();
        mSearched = 0;
        return rest;
    }

    /** Forgets the event that was cut when the stream broke. */
    void dropPartial() {
        mPartial.clear();
        mSearched = 0;
    }

    /** Returns the identity of the last event passed on. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns the index after the last blank line, or -1 if there is none. */
    private int findEnd() {
        int end = -1;
        for (int i = Math.max(1, mSearched); i < mPartial.writerIndex(); i++) {
            if (mPartial.getByte(i) != '\n') {
                continue;
            }
            byte before = mPartial.getByte(i - 1);
            boolean blank =
                    before == '\n' || before == '\r' && i > 1 && mPartial.getByte(i - 2) == '\n';
            if (blank) {
                end = i + 1;
            }
        }
        mSearched = mPartial.writerIndex();
        return end;
    }

    private void findLastId(String events) {
        for (String line : events.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
