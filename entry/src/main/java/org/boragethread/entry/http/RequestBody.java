package org.boragethread.entry.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;

/** Reads a request's body without blocking, within bounds of size and time. */
final class RequestBody implements ReadHandler {

    private static final int BUFFER_BYTES = 8192;

    private final NIOInputStream mIn;
    private final int mMaxBytes;
    private final Listener mListener;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final byte[] mBuffer = new byte[BUFFER_BYTES];
    private final AtomicBoolean mDone = new AtomicBoolean();
    private Scheduler.Timer mTimer = () -> {};

    RequestBody(NIOInputStream in, int maxBytes, Listener listener) {
        mIn = in;
        mMaxBytes = maxBytes;
        mListener = listener;
    }

    /** Begins to read. */
    void start(Scheduler scheduler, Duration timeout) {
        if (!mIn.isFinished()) {
            mTimer = scheduler.schedule(timeout, this::timeOut);
        }
        mIn.notifyAvailable(this);
    }

    @Override
    public void onDataAvailable() throws IOException {
        if (drain()) {
            mIn.notifyAvailable(this);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        if (drain() && mDone.compareAndSet(false, true)) {
            mTimer.cancel();
            mListener.onBody(mBytes.toByteArray());
        }
    }

    /** Reads what is there; returns whether the body may still grow. */
    private boolean drain() throws IOException {
        while (mIn.isReady()) {
            int count = mIn.read(mBuffer);
            if (count < 0) {
                break;
            }
            mBytes.write(mBuffer, 0, count);
            if (mBytes.size() > mMaxBytes) {
                refuse(
                        RefusalReason.BODY_TOO_LARGE,
                        "the body is longer than %d bytes".formatted(mMaxBytes));
                return false;
            }
        }
        return !mDone.get();
    }

    @Override
    public void onError(Throwable cause) {
        refuse(RefusalReason.BAD_REQUEST, "the body was cut: " + cause.getMessage());
    }

    private void timeOut() {
        refuse(RefusalReason.BODY_TIMEOUT, "the body did not arrive in time");
    }

    private void refuse(RefusalReason reason, String detail) {
        if (mDone.compareAndSet(false, true)) {
            mTimer.cancel();
            mListener.onRefused(Refusal.notRun(reason, detail));
        }
    }

    /** Receives the body or the reason why there is none. */
    interface Listener {
        /** The body is whole. */
        void onBody(byte[] body);

        /** The body is too large, too slow or cut. */
        void onRefused(Refusal refusal);
    }
}
