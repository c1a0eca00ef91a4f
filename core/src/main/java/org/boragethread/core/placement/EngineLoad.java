package org.boragethread.core.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeSet;
import org.boragethread.model.routing.EngineLimits;

/**
 * Load of one run of an engine: prompts that it has yet to process, which it does one after
 * another, running requests, the tokens that these hold, and cached prefixes. Not thread-safe.
 */
final class EngineLoad {

    /** Time for which an engine is avoided after a failure; doubles with each further failure. */
    private static final long INITIAL_AVOIDANCE_NANOS = Duration.ofMillis(300).toNanos();

    private static final int MAX_DOUBLINGS = 4;

    /** Share of the expected time from which an unprocessed prompt is overdue; reports are late. */
    private static final double OVERDUE_FACTOR = 1.25;

    private final EngineSpeed mSpeed = new EngineSpeed();
    private final PrefixCache mPrefixes = new PrefixCache();

    /**
     * Prompts in the order in which the engine processes them. Requests of other entries may be
     * restored after later ones were placed.
     */
    private final TreeSet<PlacedRequest> mPending =
            new TreeSet<>(
                    Comparator.comparingLong(PlacedRequest::placedAt)
                            .thenComparingLong(PlacedRequest::sequence));

    private EngineStatus mStatus;
    private double mPendingMillis;
    private int mPlaced;
    private long mTokens;
    private long mLastCompletion = Long.MIN_VALUE;
    private long mAvoidUntil = Long.MIN_VALUE;
    private int mConsecutiveFailures;
    private Optional<PlacementKey> mLastFailed = Optional.empty();

    EngineLoad(EngineStatus status) {
        mStatus = status;
    }

    EngineStatus status() {
        return mStatus;
    }

    /** Replaces the status by a later one of the same run. */
    void setStatus(EngineStatus status) {
        mStatus = status;
    }

    /** Returns the number of placed requests that have not ended. */
    int placed() {
        return mPlaced;
    }

    /** Returns the tokens that placed requests may hold. */
    long tokens() {
        return mTokens;
    }

    boolean isPrefixCached(long prefix) {
        return prefix != 0 && mPrefixes.contains(prefix);
    }

    double slowness(long now) {
        return mSpeed.slowness(now);
    }

    boolean isAvoided(long now) {
        return now < mAvoidUntil;
    }

    long avoidedUntil() {
        return mAvoidUntil;
    }

    /** Returns whether a request can be added within the limits of slots and, if set, memory. */
    boolean hasRoom(PlacementRequest request, EngineLimits limits, boolean limitMemory) {
        if (mPlaced >= limits.slots()) {
            return false;
        }
        return !limitMemory || mTokens + request.memoryTokens() <= limits.cacheTokens();
    }

    /** Adds a request. */
    void add(PlacedRequest placed, EngineLimits limits) {
        PlacementRequest request = placed.request();
        mPlaced++;
        mTokens += request.memoryTokens();
        if (!placed.isFirstEventSeen()) {
            mPending.add(placed);
            mPendingMillis += placed.workMillis();
        }
        if (request.prefixHash() != 0) {
            long capacity = limits.cacheTokens() - mTokens;
            if (mPrefixes.use(request.prefixHash(), request.prefixTokens(), capacity)) {
                placed.markPrefixAdded();
            }
        }
    }

    /** Removes a request that has ended. */
    void remove(PlacedRequest placed, long now) {
        dropPrompt(placed, now);
        mPlaced--;
        mTokens -= placed.request().memoryTokens();
    }

    /** Removes a request whose entry has gone or may not have sent it, which says nothing here. */
    void withdraw(PlacedRequest placed, long now) {
        endPrompt(placed, now);
        remove(placed, now);
    }

    /** Removes a request that the engine has not run. */
    void removeNotRun(PlacedRequest placed, long now) {
        withdraw(placed, now);
        if (placed.isPrefixAdded()) {
            mPrefixes.remove(placed.request().prefixHash());
        }
    }

    /** Called when the engine has responded without a failure. */
    void onSuccess() {
        mConsecutiveFailures = 0;
        mLastFailed = Optional.empty();
    }

    /**
     * Stops counting a prompt that is no longer processed, or about which no report came. If the
     * engine was at it for longer than expected, it is slow or hangs, and must not look idle.
     */
    void dropPrompt(PlacedRequest placed, long now) {
        if (!mPending.isEmpty() && mPending.first() == placed) {
            double elapsed = (now - Math.max(placed.placedAt(), mLastCompletion)) / 1e6;
            double expected = placed.workMillis() * mSpeed.slowness(now);
            if (elapsed > OVERDUE_FACTOR * expected) {
                mSpeed.add(elapsed / placed.workMillis(), now);
            }
        }
        endPrompt(placed, now);
    }

    /** Stops counting a prompt without learning from its time. */
    void endPrompt(PlacedRequest placed, long now) {
        boolean first = !mPending.isEmpty() && mPending.first() == placed;
        if (!mPending.remove(placed)) {
            return;
        }
        mPendingMillis = mPending.isEmpty() ? 0 : mPendingMillis - placed.workMillis();
        if (first) {
            // The next prompt starts now; it is not slow because of the one before it.
            mLastCompletion = Math.max(mLastCompletion, now);
        }
    }

    /**
     * Records that a prompt is processed. Prompts are processed in order, so those before it are
     * processed too, even if a report of that was lost.
     *
     * @param completedAt monotonic time at which it was processed, less the delay of messages
     * @return the time that the prompt took, in milliseconds; empty if it is not known
     */
    OptionalDouble onProcessed(PlacedRequest placed, long completedAt, long now) {
        mConsecutiveFailures = 0;
        mLastFailed = Optional.empty();
        if (!mPending.contains(placed)) {
            return OptionalDouble.empty();
        }
        boolean first = dropThrough(placed);
        long startedAt = Math.max(placed.placedAt(), mLastCompletion);
        mLastCompletion = Math.max(mLastCompletion, completedAt);
        if (!first || completedAt <= startedAt) {
            return OptionalDouble.empty();
        }
        double millis = (completedAt - startedAt) / 1e6;
        mSpeed.add(millis / placed.workMillis(), now);
        return OptionalDouble.of(millis);
    }

    /** Removes the prompts up to one, and returns whether there was none before it. */
    private boolean dropThrough(PlacedRequest placed) {
        Iterator<PlacedRequest> pending = mPending.iterator();
        boolean first = true;
        PlacedRequest next = pending.next();
        while (next != placed) {
            mPendingMillis -= next.workMillis();
            pending.remove();
            first = false;
            next = pending.next();
        }
        pending.remove();
        mPendingMillis = mPending.isEmpty() ? 0 : mPendingMillis - placed.workMillis();
        return first;
    }

    /**
     * Returns the expected time until all prompts are processed, in milliseconds.
     *
     * @param reportMillis delay of reports, within which a prompt may be processed unnoticed
     */
    double remainingMillis(long now, double reportMillis) {
        if (mPending.isEmpty()) {
            return 0;
        }
        PlacedRequest head = mPending.first();
        double elapsed = (now - Math.max(head.placedAt(), mLastCompletion)) / 1e6;
        double slowness = mSpeed.slowness(now, head.workMillis(), elapsed - reportMillis);
        return Math.max(0, mPendingMillis * slowness - elapsed);
    }

    /**
     * Avoids the engine for a while if it is probably the cause of a failure. Failures during that
     * time are of the same cause. A refusal or a failure response may be due to the request, so it
     * counts only if a different request failed before, with no prompt processed in between.
     * Without that, an engine that refuses everything at once would look idle and be chosen first.
     */
    void onFailure(PlacementKey key, PlacementFailure failure, long now) {
        if (isAvoided(now)) {
            return;
        }
        boolean isOtherRequest = mLastFailed.filter(last -> !isSameRequest(last, key)).isPresent();
        mLastFailed = Optional.of(key);
        if (failure != PlacementFailure.BROKEN && !isOtherRequest) {
            return;
        }
        int doublings = Math.min(MAX_DOUBLINGS, mConsecutiveFailures);
        // A full engine has room again soon, however often it refused.
        boolean refused = failure == PlacementFailure.REFUSED;
        mConsecutiveFailures += refused ? 0 : 1;
        mAvoidUntil = now + (INITIAL_AVOIDANCE_NANOS << (refused ? 0 : doublings));
    }

    private static boolean isSameRequest(PlacementKey one, PlacementKey other) {
        return one.entry().equals(other.entry()) && one.request().equals(other.request());
    }
}
