package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The faults that the proxy knows. Positions are in bytes from when the fault is applied. */
public final class Faults {

    private static final int CORRUPT_MASK = 0x55;

    private Faults() {}

    /** Passes all bytes on unchanged. */
    public static Fault none() {
        return () -> (bytes, outlet) -> outlet.write(bytes);
    }

    /** Passes all bytes on unchanged and in order, later. */
    public static Fault delay(Duration delay) {
        return () -> new DelayFlow(delay.toNanos());
    }

    /** Closes the connection after a number of bytes. */
    public static Fault cutAfter(long bytes) {
        return () -> new LimitFlow(bytes, Outlet::cut);
    }

    /** Resets the connection after a number of bytes. */
    public static Fault resetAfter(long bytes) {
        return () -> new LimitFlow(bytes, Outlet::reset);
    }

    /** Ends this direction after a number of bytes and drops the rest. */
    public static Fault halfCloseAfter(long bytes) {
        return () -> new LimitFlow(bytes, Outlet::end);
    }

    /** Drops all bytes after a number of bytes; the connection stays open. */
    public static Fault blackHoleAfter(long bytes) {
        return () -> new LimitFlow(bytes, outlet -> {});
    }

    /** Passes a few bytes at a time. */
    public static Fault trickle(int bytes, Duration interval) {
        return () -> new TrickleFlow(bytes, interval.toNanos());
    }

    /** Changes one byte at a position. */
    public static Fault corruptAt(long position) {
        return () -> new CorruptFlow(position);
    }

    /** Keeps the order of delayed bytes. */
    private static final class DelayFlow implements Flow {
        private final long mDelayNanos;

        DelayFlow(long delayNanos) {
            mDelayNanos = delayNanos;
        }

        @Override
        public void pass(ByteBuf bytes, Outlet outlet) {
            outlet.later(mDelayNanos, TimeUnit.NANOSECONDS, () -> outlet.write(bytes));
        }

        @Override
        public void end(Outlet outlet) {
            outlet.later(mDelayNanos, TimeUnit.NANOSECONDS, outlet::end);
        }
    }

    /** Does something once a number of bytes has passed, and drops the rest. */
    private static final class LimitFlow implements Flow {
        private final Consumer<Outlet> mAtLimit;
        private long mLeft;
        private boolean mReached;

        LimitFlow(long limit, Consumer<Outlet> atLimit) {
            mLeft = limit;
            mAtLimit = atLimit;
        }

        @Override
        public void pass(ByteBuf bytes, Outlet outlet) {
            if (mReached) {
                bytes.release();
                return;
            }
            int length = (int) Math.min(mLeft, bytes.readableBytes());
            mLeft -= length;
            outlet.write(bytes.readRetainedSlice(length));
            bytes.release();
            if (mLeft == 0) {
                mReached = true;
                mAtLimit.accept(outlet);
            }
        }

        @Override
        public void end(Outlet outlet) {
            if (!mReached) {
                outlet.end();
            }
        }
    }

    /** Sends a queue of bytes in small steps. */
    private static final class TrickleFlow implements Flow {
        private final int mStepBytes;
        private final long mIntervalNanos;
        private long mNextNanos = System.nanoTime();

        TrickleFlow(int stepBytes, long intervalNanos) {
            mStepBytes = stepBytes;
            mIntervalNanos = intervalNanos;
        }

        @Override
        public void pass(ByteBuf bytes, Outlet outlet) {
            while (bytes.isReadable()) {
                int length = Math.min(mStepBytes, bytes.readableBytes());
                ByteBuf step = bytes.readRetainedSlice(length);
                later(outlet, () -> outlet.write(step));
            }
            bytes.release();
        }

        @Override
        public void end(Outlet outlet) {
            later(outlet, outlet::end);
        }

        /** Runs an action one interval after the one before it, or after now. */
        private void later(Outlet outlet, Runnable action) {
            long now = System.nanoTime();
            mNextNanos = Math.max(now, mNextNanos) + mIntervalNanos;
            outlet.later(mNextNanos - now, TimeUnit.NANOSECONDS, action);
        }
    }

    /** Changes one byte. */
    private static final class CorruptFlow implements Flow {
        private long mLeft;

        CorruptFlow(long position) {
            mLeft = position;
        }

        @Override
        public void pass(ByteBuf bytes, Outlet outlet) {
            int length = bytes.readableBytes();
            if (mLeft >= 0 && mLeft < length) {
                int index = bytes.readerIndex() + (int) mLeft;
                bytes.setByte(index, bytes.getByte(index) ^ CORRUPT_MASK);
            }
            mLeft -= length;
            outlet.write(bytes);
        }
    }
}
