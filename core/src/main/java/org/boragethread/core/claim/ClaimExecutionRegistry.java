package org.boragethread.core.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/**
 * The claims that one agent has run or rejects, bounded by number, size and age. Thread-safe.
 *
 * <p>When a claim is evicted, the low-water mark of its partition rises to the offset of the claim.
 * The agent answers {@link ClaimAnswer.State#UNKNOWN} for untracked claims at or below the mark and
 * does not run them, because it may have run them before.
 */
public final class ClaimExecutionRegistry {

    private final Limits mLimits;
    private final long mIncarnation;
    private final TimeSource mTime;
    private final Object mLock = new Object();
    private final Map<ClaimRef, Entry> mRunning = new HashMap<>();
    // Ordered by time of the last state change, oldest first.
    private final LinkedHashMap<ClaimRef, Entry> mSettled = new LinkedHashMap<>();
    private final Map<Integer, Long> mLowWaterMarks = new HashMap<>();
    private long mBodyBytes;

    /**
     * Creates an empty registry.
     *
     * @param incarnation identifier of this run of the agent; it differs after every start
     */
    public ClaimExecutionRegistry(Limits limits, long incarnation, TimeSource time) {
        mLimits = limits;
        mIncarnation = incarnation;
        mTime = time;
    }

    /**
     * Registers the start of a claimed call. The call may be sent to the upstream only after {@link
     * BeginResult#STARTED}, and then {@link #recordOutcome}, {@link #recordNotRun} or {@link
     * #recordUnknown} must follow.
     */
    public BeginResult begin(ClaimRef ref) {
        synchronized (mLock) {
            evictOldest();
            if (mRunning.containsKey(ref)) {
                return BeginResult.ALREADY_BEGUN;
            }
            Entry entry = mSettled.get(ref);
            if (entry == null && isAtOrBelowLowWaterMark(ref)) {
                return BeginResult.INDETERMINATE;
            }
            if (entry != null && entry.state() != State.NOT_RUN) {
                return entry.state() == State.FENCED
                        ? BeginResult.FENCED
                        : BeginResult.ALREADY_BEGUN;
            }
            remove(ref);
            mRunning.put(ref, new Entry(State.RUNNING, Optional.empty(), mTime.nanoTime()));
            return BeginResult.STARTED;
        }
    }

    /**
     * Registers the start of a claimed call like {@link #begin(ClaimRef)}, and rejects a call that
     * was addressed to another incarnation of this agent.
     *
     * @param incarnation the incarnation that the claim names
     */
    public BeginResult begin(ClaimRef ref, long incarnation) {
        return incarnation == mIncarnation ? begin(ref) : BeginResult.INDETERMINATE;
    }

    private boolean isAtOrBelowLowWaterMark(ClaimRef ref) {
        return ref.offset() <= mLowWaterMarks.getOrDefault(ref.partition(), -1L);
    }

    /** Records that a started call has received a complete response. */
    public void recordOutcome(ClaimRef ref, ClaimOutcome outcome) {
        boolean tooLarge = outcome.bodyBytes() > mLimits.maxOutcomeBytes();
        settle(ref, State.DONE, Optional.of(tooLarge ? outcome.withoutBody() : outcome));
    }

    /** Records that the upstream certainly did not receive a started call; it may begin again. */
    public void recordNotRun(ClaimRef ref) {
        settle(ref, State.NOT_RUN, Optional.empty());
    }

    /** Records that a started call may or may not have run. */
    public void recordUnknown(ClaimRef ref) {
        settle(ref, State.UNKNOWN, Optional.empty());
    }

    private void settle(ClaimRef ref, State state, Optional<ClaimOutcome> outcome) {
        synchronized (mLock) {
            if (mRunning.remove(ref) != null) {
                put(ref, state, outcome);
            }
        }
    }

    /**
     * Answers a query of another process about a claim.
     *
     * @param incarnation the incarnation that the claim names
     * @param fence whether to reject the claim from now on unless it has begun
     */
    public ClaimAnswer query(ClaimRef ref, long incarnation, boolean fence) {
        if (incarnation != mIncarnation) {
            return ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);
        }
        synchronized (mLock) {
            evictOldest();
            if (mRunning.containsKey(ref)) {
                return ClaimAnswer.of(ClaimAnswer.State.RUNNING);
            }
            Entry entry = mSettled.get(ref);
            return entry == null
                    ? answerUnknownClaim(ref, fence)
                    : answerSettledClaim(ref, entry, fence);
        }
    }

    private ClaimAnswer answerUnknownClaim(ClaimRef ref, boolean fence) {
        if (isAtOrBelowLowWaterMark(ref)) {
            return ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);
        }
        if (fence) {
            put(ref, State.FENCED, Optional.empty());
        }
        return ClaimAnswer.of(ClaimAnswer.State.NEVER_SEEN);
    }

    private ClaimAnswer answerSettledClaim(ClaimRef ref, Entry entry, boolean fence) {
        switch (entry.state()) {
            case DONE:
                return new ClaimAnswer(ClaimAnswer.State.DONE, entry.outcome());
            case FENCED:
                return ClaimAnswer.of(ClaimAnswer.State.NEVER_SEEN);
            case NOT_RUN:
                if (fence) {
                    put(ref, State.FENCED, Optional.empty());
                }
                return ClaimAnswer.of(ClaimAnswer.State.NOT_RUN);
            default:
                return ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);
        }
    }

    private void put(ClaimRef ref, State state, Optional<ClaimOutcome> outcome) {
        remove(ref);
        mSettled.put(ref, new Entry(state, outcome, mTime.nanoTime()));
        mBodyBytes += outcome.map(ClaimOutcome::bodyBytes).orElse(0);
        evictOldest();
    }

    private void remove(ClaimRef ref) {
        Entry old = mSettled.remove(ref);
        if (old != null) {
            mBodyBytes -= old.outcome().map(ClaimOutcome::bodyBytes).orElse(0);
        }
    }

    private void evictOldest() {
        Iterator<Map.Entry<ClaimRef, Entry>> entries = mSettled.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ClaimRef, Entry> oldest = entries.next();
            if (!mustEvict(oldest.getValue())) {
                return;
            }
            ClaimRef ref = oldest.getKey();
            mBodyBytes -= oldest.getValue().outcome().map(ClaimOutcome::bodyBytes).orElse(0);
            entries.remove();
            mLowWaterMarks.merge(ref.partition(), ref.offset(), Math::max);
        }
    }

    private boolean mustEvict(Entry oldest) {
        return mSettled.size() > mLimits.maxClaims()
                || mBodyBytes > mLimits.maxBytes()
                || mTime.since(oldest.changedNanos()).compareTo(mLimits.retention()) > 0;
    }

    /** Returns the number of tracked claims. */
    public int size() {
        synchronized (mLock) {
            return mRunning.size() + mSettled.size();
        }
    }

    /** Whether a claimed call may be sent to the upstream. */
    public enum BeginResult {
        /** The call may be sent once. */
        STARTED,
        /** The claim was fenced; the call has not run and will not run here. */
        FENCED,
        /** The call has already begun; {@link #query} returns its state. */
        ALREADY_BEGUN,
        /**
         * The call may have run before: its claim is too old to be tracked, or names another
         * incarnation of the agent. The call is rejected.
         */
        INDETERMINATE
    }

    /**
     * Size limits of the registry.
     *
     * @param maxClaims maximum number of settled claims
     * @param maxBytes maximum total size of the kept bodies, in bytes
     * @param maxOutcomeBytes size above which a body is not kept, in bytes
     * @param retention how long a claim is kept after its last state change
     */
    public record Limits(int maxClaims, long maxBytes, int maxOutcomeBytes, Duration retention) {}

    private enum State {
        RUNNING,
        DONE,
        NOT_RUN,
        UNKNOWN,
        FENCED
    }

    private record Entry(State state, Optional<ClaimOutcome> outcome, long changedNanos) {}
}
