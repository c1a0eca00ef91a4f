package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/** Counts the attempts of one request and tells from them whether it may have run. */
final class AttemptCounts {

    private int mSends;
    private int mRejections;
    private int mExecutions;

    void onSent() {
        mSends++;
    }

    /** Counts an attempt that certainly did not run. */
    void onRejected() {
        mRejections++;
    }

    /** Counts an attempt that ran or may have run. */
    void onExecuted() {
        mExecutions++;
    }

    int sends() {
        return mSends;
    }

    int rejections() {
        return mRejections;
    }

    int executions() {
        return mExecutions;
    }

    /**
     * Returns the refusal of the request, which says 'not run' only if that is certain. After an
     * internal error, the counts may be wrong.
     *
     * @param retryAfter delay before a retry, given to the caller if the request did not run
     */
    Refusal refusal(RefusalReason reason, String detail, Duration retryAfter) {
        boolean isPending = mSends > mRejections + mExecutions;
        boolean isLate = reason == RefusalReason.DEADLINE_EXCEEDED;
        if (mExecutions > 0 || isPending || reason == RefusalReason.INTERNAL) {
            RefusalReason unknown = isLate ? reason : RefusalReason.UPSTREAM_FAILED;
            return Refusal.unknown(unknown, detail);
        }
        RefusalReason notRun = isLate ? RefusalReason.DEADLINE_HOPELESS : reason;
        return Refusal.notRun(notRun, detail, retryAfter);
    }
}
