package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The available faults. Byte positions count from the moment the fault is applied. */
public final class Faults {

    private static final int CORRUPT_MASK = 0x55;

    private Faults() {}

    /** Forwards all bytes unchanged. */
    public static Fault none() {
        return () -> (bytes, output) -> output.write(bytes);
    }

    /** Forwards all bytes unchanged and in order after a delay. */
    public static Fault delay(Duration delay) {
        return () -> new DelayFilter(delay.toNanos());
    }

    /** Closes the connection after a number of bytes and drops the rest. */
    public static Fault closeAfter(long bytes) {
        return () -> new ByteLimitFilter(bytes, FilterOutput::closeConnection);
    }

    /** Resets the connection after a number of bytes and drops the rest. */
    public static Fault resetAfter(long bytes) {
        return () -> new ByteLimitFilter(bytes, FilterOutput::resetConnection);
    }

    /** Shuts down this direction after a number of bytes and drops the rest. */
    public static Fault halfCloseAfter(long bytes) {
        return () -> new ByteLimitFilter(bytes, FilterOutput::end);
    }

    /** Drops everything after a number of bytes; the connection stays open. */
    public static Fault blackHoleAfter(long bytes) {
        return () -> new ByteLimitFilter(bytes, output -> {});
    }

    /** Forwards at most a number of bytes in each interval. */
    public static Fault trickle(int bytes, Duration interval) {
        return () -> new TrickleFilter(bytes, interval.toNanos());
    }

    /** Corrupts the byte at a position. */
    public static Fault corruptAt(long position) {
        return () -> new CorruptFilter(position);
    }

    /**
     * Delays all bytes and the end of the direction by the same time, which preserves the order.
     */
    private static final class DelayFilter implements FaultFilter {
        private final long mDelayNanos;

        DelayFilter(long delayNanos) {
            mDelayNanos = delayNanos;
        }

        @Override
        public void filter(ByteBuf bytes, FilterOutput output) {
            output.schedule(mDelayNanos, TimeUnit.NANOSECONDS, () -> output.write(bytes));
        }

        @Override
        public void end(FilterOutput output) {
            output.schedule(mDelayNanos, TimeUnit.NANOSECONDS, output::end);
        }
    }

    /** Runs an action once a number of bytes has been forwarded, and drops the rest. */
    private static final class ByteLimitFilter implements FaultFilter {
        private final Consumer<FilterOutput> mAtLimit;
        private long mRemaining;
        private boolean mLimitReached;

        ByteLimitFilter(long limit, Consumer<FilterOutput> atLimit) {
            mRemaining = limit;
            mAtLimit = atLimit;
        }

        @Override
        public void filter(ByteBuf bytes, FilterOutput output) {
            if (mLimitReached) {
                bytes.release();
                return;
            }
            int length = (int) Math.min(mRemaining, bytes.readableBytes());
            mRemaining -= length;
            output.write(bytes.readRetainedSlice(length));
            bytes.release();
            if (mRemaining == 0) {
                mLimitReached = true;
                mAtLimit.accept(output);
            }
        }

        @Override
        public void end(FilterOutput output) {
            if (!mLimitReached) {
                output.end();
            }
        }
    }

    /** Splits the bytes into small chunks and forwards one in each interval. */
    private static final class TrickleFilter implements FaultFilter {
        private final int mChunkBytes;
        private final long mIntervalNanos;
        private final Deque<Runnable> mPending = new ArrayDeque<>();
        private long mLastScheduledNanos = System.nanoTime();

        TrickleFilter(int chunkBytes, long intervalNanos) {
            mChunkBytes = chunkBytes;
            mIntervalNanos = intervalNanos;
        }

        @Override
        public void filter(ByteBuf bytes, FilterOutput output) {
            while (bytes.isReadable()) {
                int length = Math.min(mChunkBytes, bytes.readableBytes());
                ByteBuf chunk = bytes.readRetainedSlice(length);
                scheduleNext(output, () -> output.write(chunk));
            }
            bytes.release();
        }

        @Override
        public void end(FilterOutput output) {
            scheduleNext(output, output::end);
        }

        /**
         * Schedules an action one interval after the previous one, or after now if that is later.
         * Timers may fire in another order if the thread pauses before one of them is set, so each
         * runs the oldest action.
         */
        private void scheduleNext(FilterOutput output, Runnable action) {
            long now = System.nanoTime();
            mLastScheduledNanos = Math.max(now, mLastScheduledNanos) + mIntervalNanos;
            mPending.add(action);
            output.schedule(
                    mLastScheduledNanos - now, TimeUnit.NANOSECONDS, () -> mPending.remove().run());
        }
    }

    /** Flips some bits of one byte. */
    private static final class CorruptFilter implements FaultFilter {
        private long mRemaining;

        CorruptFilter(long position) {
            mRemaining = position;
        }

        @Override
        public void filter(ByteBuf bytes, FilterOutput output) {
            int length = bytes.readableBytes();
            if (mRemaining >= 0 && mRemaining < length) {
                int index = bytes.readerIndex() + (int) mRemaining;
                bytes.setByte(index, bytes.getByte(index) ^ CORRUPT_MASK);
            }
            mRemaining -= length;
            output.write(bytes);
        }
    }
}
