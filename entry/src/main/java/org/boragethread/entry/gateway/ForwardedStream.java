package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.boragethread.core.time.TimeSource;

/**
 * The response to one caller whose body is forwarded while it arrives. A resumable event stream is
 * forwarded in complete events, so that another upstream can continue it after each of them.
 */
final class ForwardedStream {

    private final CallerResponseWriter mWriter;
    private final TimeSource mTime;
    private final EventStreamBuffer mEvents = new EventStreamBuffer();
    private boolean mStarted;
    private boolean mResumable;
    private boolean mBegun;
    private OptionalLong mLastEventAt = OptionalLong.empty();
    private Runnable mOnBegin = () -> {};

    ForwardedStream(CallerResponseWriter writer, TimeSource time) {
        mWriter = writer;
        mTime = time;
    }

    /** Returns whether the head of the response was forwarded. */
    boolean isStarted() {
        return mStarted;
    }

    /**
     * Forwards the head of the response.
     *
     * @param resumable whether another upstream may continue the body; only an event stream tells
     *     after which part
     * @param onBegin called before the first event of a resumable stream is forwarded
     */
    void start(int status, HttpHeaders headers, boolean resumable, Runnable onBegin) {
        mStarted = true;
        mResumable = resumable;
        mOnBegin = onBegin;
        mWriter.sendHead(status, headers);
    }

    /** Forwards a part of the body; returns whether the caller can take more at once. */
    boolean forward(ByteBuf data) {
        ByteBuf output = mResumable ? mEvents.append(data) : Unpooled.copiedBuffer(data);
        if (output.isReadable()) {
            begin();
            mLastEventAt = OptionalLong.of(mTime.nanoTime());
            mWriter.sendBody(output);
        }
        return mWriter.isWritable();
    }

    private void begin() {
        if (mResumable && !mBegun) {
            mBegun = true;
            mOnBegin.run();
        }
    }

    /** Returns whether another upstream may continue the body after what was forwarded. */
    boolean canResume() {
        return mStarted && mResumable && mEvents.isResumable();
    }

    /** Discards what was not forwarded because its upstream failed inside an event. */
    void prepareResume() {
        mEvents.dropPartial();
    }

    /** Returns the monotonic time at which a part of the body was last forwarded. */
    OptionalLong lastEventAt() {
        return mLastEventAt;
    }

    /** Returns the ID of the last event that was forwarded. */
    Optional<String> lastEventId() {
        return mEvents.lastId();
    }

    /** Forwards the end of the body, which is not inside an event. */
    void end() {
        mWriter.sendEnd();
    }
}
