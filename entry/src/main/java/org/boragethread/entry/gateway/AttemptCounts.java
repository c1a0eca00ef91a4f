package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/** Counts the attempts of one request and tells from them whether it may have run. */
final class AttemptCounts {

    /** Number of attempts not executed by an upstream after which the request is refused. */
    private static final int MAX_REJECTIONS = 4;

    /**
     * Number of refused connections after which the request is refused. Each takes a round trip, at
     * most 2 ms between data centres, and saves the next requests the same one. With 205 dead
     * upstreams beside 12 sound ones, of which nothing is known yet, 1.3 % of the requests would
     * need more.
     */
    static final int MAX_REFUSED_CONNECTIONS = 64;

    /**
     * Number of refused connections of second attempts after which none is started beside a silent
     * upstream. Each one takes a timeout of the silence, not only a round trip.
     */
    private static final int MAX_REFUSED_SECOND_ATTEMPTS = 4;

    private final Set<String> mRejectedAt = new HashSet<>();
    private int mSends;
    private int mRejections;
    private int mRefusedConnections;
    private int mRefusedSecondAttempts;
    private int mExecutions;

    void onSent() {
        mSends++;
    }

    /**
     * Counts an attempt that certainly did not run.
     *
     * @param address address of the upstream that did not run it
     */
    void onRejected(String address) {
        mRejections++;
        mRejectedAt.add(address);
    }

    /** Returns whether an upstream at the address has responded that it did not run the request. */
    boolean wasRejectedAt(String address) {
        return mRejectedAt.contains(address);
    }

    /** Counts an attempt that reached no upstream. */
    void onNotSent(UnsentAttempt unsent) {
        if (unsent.isNewRefusal()) {
            mRefusedConnections++;
        } else {
            mRejections++;
        }
    }

    /** Counts a second attempt beside a silent upstream that reached no upstream. */
    void onSecondNotSent(UnsentAttempt unsent) {
        if (unsent.refused()) {
            mRefusedSecondAttempts++;
        }
        onNotSent(unsent);
    }

    /** Returns whether the counts allow a second attempt beside a silent upstream. */
    boolean maySendSecond() {
        return mayBeRejectedAgain() && mRefusedSecondAttempts < MAX_REFUSED_SECOND_ATTEMPTS;
    }

    /** Counts an attempt that ran or may have run. */
    void onExecuted() {
        mExecutions++;
    }

    int sends() {
        return mSends;
    }

    /** Returns whether the request may be sent again after an upstream has rejected it. */
    boolean mayBeRejectedAgain() {
        return mRejections < MAX_REJECTIONS;
    }

    /** Returns whether another upstream may be tried after one that could not be reached. */
    boolean mayTryAfter(UnsentAttempt unsent) {
        return unsent.isNewRefusal()
                ? mRefusedConnections < MAX_REFUSED_CONNECTIONS
                : mRejections <= MAX_REJECTIONS;
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
        boolean isPending = mSends > mRejections + mRefusedConnections + mExecutions;
        boolean isLate = reason == RefusalReason.DEADLINE_EXCEEDED;
        if (mExecutions > 0 || isPending || reason == RefusalReason.INTERNAL) {
            RefusalReason unknown = isLate ? reason : RefusalReason.UPSTREAM_FAILED;
            return Refusal.unknown(unknown, detail);
        }
        RefusalReason notRun = isLate ? RefusalReason.DEADLINE_HOPELESS : reason;
        return Refusal.notRun(notRun, detail, retryAfter);
    }
}
