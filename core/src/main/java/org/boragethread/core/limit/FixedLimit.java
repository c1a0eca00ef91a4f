package org.boragethread.core.limit;

import java.util.Optional;

/** Baseline for comparison: a limit that does not depend on how calls end. */
public final class FixedLimit implements ConcurrencyLimit {

    private int mLimit;

    /**
     * Creates a limit.
     *
     * @param limit maximum number of calls in flight, at least 1
     */
    public FixedLimit(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("limit %d must be at least 1".formatted(limit));
        }
        mLimit = limit;
    }

    @Override
    public int limit() {
        return mLimit;
    }

    @Override
    public boolean isCold() {
        return false;
    }

    @Override
    public Optional<LimitChange> onSuccess(CallSample sample) {
        return Optional.empty();
    }

    @Override
    public Optional<LimitChange> onFailure(CallSample sample, FailureKind kind) {
        return Optional.empty();
    }

    @Override
    public Optional<LimitChange> onUpstreamLost(LimitChangeReason reason) {
        return Optional.empty();
    }

    @Override
    public Optional<LimitChange> onReportedLoad(ReportedLoad load) {
        return Optional.empty();
    }

    @Override
    public Optional<LimitChange> onIdle() {
        return Optional.empty();
    }

    @Override
    public Optional<LimitChange> reconfigure(int coldLimit, int maxLimit) {
        if (maxLimit == mLimit) {
            return Optional.empty();
        }
        LimitChange change = new LimitChange(mLimit, maxLimit, LimitChangeReason.CONFIGURED);
        mLimit = maxLimit;
        return Optional.of(change);
    }
}
