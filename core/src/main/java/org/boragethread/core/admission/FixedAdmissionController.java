package org.boragethread.core.admission;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamLoad;

/** Baseline for comparison: a constant concurrency limit without a queue. */
public final class FixedAdmissionController implements AdmissionController {

    private static final Duration RETRY_AFTER = Duration.ofMillis(100);
    private static final CancelHandle NOT_QUEUED = () -> {};

    private final int mLimit;
    private int mInFlight;
    private boolean mLeaving;

    /**
     * Creates a controller.
     *
     * @param limit maximum number of calls in flight
     */
    public FixedAdmissionController(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("limit %d must be at least 1".formatted(limit));
        }
        mLimit = limit;
    }

    @Override
    public CancelHandle requestAdmission(AdmissionRequest request, Listener listener) {
        RefusalReason reason = tryAdmit();
        if (reason == null) {
            AtomicBoolean active = new AtomicBoolean(true);
            listener.onAdmitted((outcome, latency) -> release(active));
        } else {
            listener.onRefused(Refusal.notRun(reason, "no capacity at the agent", RETRY_AFTER));
        }
        return NOT_QUEUED;
    }

    private synchronized RefusalReason tryAdmit() {
        if (mLeaving) {
            return RefusalReason.LEAVING;
        }
        if (mInFlight >= mLimit) {
            return RefusalReason.QUEUE_FULL;
        }
        mInFlight++;
        return null;
    }

    private void release(AtomicBoolean active) {
        if (active.compareAndSet(true, false)) {
            synchronized (this) {
                mInFlight--;
            }
        }
    }

    @Override
    public synchronized UpstreamLoad load() {
        return new UpstreamLoad(mInFlight, mLimit, 0, false, mLeaving);
    }

    @Override
    public synchronized void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }
}
