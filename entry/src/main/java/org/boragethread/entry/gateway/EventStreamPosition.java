package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;

/**
 * Position in a stream of server-sent events. An event ends with a blank line; lines end with LF,
 * CR LF or CR. Comments alone are no event; upstreams send them to keep a connection open.
 */
final class EventStreamPosition {

    /** First character of a line that is a comment. */
    private static final byte COMMENT = ':';

    private boolean mAtLineStart = true;
    private boolean mAfterCarriageReturn;
    private boolean mHasField;
    private long mPartialEventBytes;
    private long mEvents;

    /**
     * Moves past the data, without reading from the buffer.
     *
     * @return the length of the data up to the end of the last event that ends in it; 0 if none
     *     does
     */
    int advance(ByteBuf data) {
        int end = 0;
        for (int i = 0; i < data.readableBytes(); i++) {
            if (advance(data.getByte(data.readerIndex() + i))) {
                end = i + 1;
            }
        }
        return end;
    }

    /** Moves past one byte; returns whether the stream is between two events then. */
    private boolean advance(byte next) {
        boolean endsCrLf = next == '\n' && mAfterCarriageReturn;
        mAfterCarriageReturn = next == '\r';
        if (endsCrLf) {
            return isBetweenEvents();
        }
        if (next != '\n' && next != '\r') {
            mHasField |= mAtLineStart && next != COMMENT;
            mAtLineStart = false;
            mPartialEventBytes++;
            return false;
        }
        if (!mAtLineStart) {
            mAtLineStart = true;
            mPartialEventBytes++;
            return false;
        }
        mEvents += mHasField ? 1 : 0;
        mHasField = false;
        mPartialEventBytes = 0;
        return true;
    }

    /** Returns whether no event has begun that has not ended. */
    boolean isBetweenEvents() {
        return mPartialEventBytes == 0;
    }

    /** Returns the number of bytes since the last event, without the LF of a CR LF. */
    long partialEventBytes() {
        return mPartialEventBytes;
    }

    /** Returns the number of complete events. */
    long events() {
        return mEvents;
    }
}
