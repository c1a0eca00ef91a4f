package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.boragethread.core.resume.StreamOriginTable;
import org.boragethread.core.upstream.UpstreamNode;

/**
 * Lets a response wait while it is uncertain for a moment which software an upstream runs.
 * Announcements decide it, at the latest some time after the moment of doubt, if the store can be
 * read.
 */
final class VersionWait {

    /** Longest wait for announcements; if the store can be read, they are known earlier. */
    static final Duration MAX_TIME = StreamOriginTable.PROVISIONAL_TIME;

    private final Gateway mGateway;
    private final RequestTrace mTrace;
    private final StreamContinuation mContinuation;

    /** Why a response waits. */
    enum Cause {
        /** The upstream that wrote the last events has broken off. */
        INTERRUPTED("interrupted"),
        /** The upstream that is to go on responds. */
        RESPONDS("responds"),
        /** A second upstream responds during the silence of the first one. */
        SECOND_RESPONDS("second-responds"),
        /** Only upstreams whose announcements are doubtful could go on. */
        NO_UPSTREAM("no-upstream");

        private final String mLabel;

        Cause(String label) {
            mLabel = label;
        }

        String label() {
            return mLabel;
        }
    }

    VersionWait(Gateway gateway, RequestTrace trace, StreamContinuation continuation) {
        mGateway = gateway;
        mTrace = trace;
        mContinuation = continuation;
    }

    /** Returns whether the version of an attempt matters and may become certain. */
    boolean isPending(UpstreamAttempt attempt) {
        return mContinuation.isFixed() && attempt.isVersionPending();
    }

    /**
     * Holds a response that has begun to arrive until its version is decided, unless it is; the
     * callback must release it.
     */
    void hold(Cause cause, UpstreamAttempt attempt, Runnable callback) {
        if (!isPending(attempt)) {
            callback.run();
            return;
        }
        attempt.hold();
        await(cause, attempt.node(), () -> attempt.isActive() && isPending(attempt), callback);
    }

    /**
     * Records at which version a stream was interrupted, as soon as that is decided, and invokes a
     * callback.
     */
    void onInterrupted(UpstreamAttempt attempt, Runnable callback) {
        await(
                Cause.INTERRUPTED,
                attempt.node(),
                () -> isPending(attempt),
                () -> {
                    mContinuation.onInterrupted(attempt.softwareVersion());
                    callback.run();
                });
    }

    /**
     * Invokes a callback when a version is no longer pending or the time has passed; at once if it
     * is not pending.
     */
    void await(Cause cause, UpstreamNode node, BooleanSupplier isPending, Runnable callback) {
        if (!isPending.getAsBoolean()) {
            callback.run();
            return;
        }
        mTrace.versionAwaited(node, cause);
        check(cause, node, isPending, callback, mGateway.time().nanoTime());
    }

    private void check(
            Cause cause,
            UpstreamNode node,
            BooleanSupplier isPending,
            Runnable callback,
            long startedAt) {
        Duration waited = mGateway.time().since(startedAt);
        boolean pending = isPending.getAsBoolean();
        if (pending && waited.compareTo(MAX_TIME) < 0) {
            mGateway.scheduler()
                    .schedule(
                            UpstreamSearch.INTERVAL,
                            () -> check(cause, node, isPending, callback, startedAt));
            return;
        }
        mTrace.versionDecided(node, cause, pending, waited);
        callback.run();
    }
}
