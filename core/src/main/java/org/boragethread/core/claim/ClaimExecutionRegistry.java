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
 * The claims that one agent ran or refuses, for a bounded time and number. Safe for use by several
 * threads.
 *
 * <p>When a claim is forgotten, the low-water mark of its partition rises to its offset. The agent
 * does not vouch for unremembered claims at or below the mark and does not run them, because it may
 * have run them before.
 */
public final class ClaimExecutionRegistry {

    private final Limits mLimits;
    private final long mIncarnation;
    private final TimeSource mTime;
    private final Object mLock = new Object();
    private final Map<ClaimRef, Entry> mRunning = new HashMap<>();
    // Ordered by the time of the last change, oldest first.
    private final LinkedHashMap<ClaimRef, Entry> mSettled = new LinkedHashMap<>();
    private final Map<Integer, Long> mLowWaterMarks = new HashMap<>();
    private long mBodyBytes;

    /**
     * Makes an empty memory.
     *
     * @param incarnation value that differs at every start of the agent
     */
    public ClaimExecutionRegistry(Limits limits, long incarnation, TimeSource time) {
        mLimits = limits;
        mIncarnation = incarnation;
        mTime = time;
    }

    /**
     * Asks to hand a claimed call to the upstream. Only after {@link BeginResult#STARTED} may the
     * call be sent, and then {@link #done}, {@link #notRun} or {@link #unknown} must follow.
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
     * Asks to hand a claimed call to the upstream, as {@link #begin(ClaimRef)}, and refuses a call
     * that was meant for another incarnation of this agent.
     *
     * @param incarnation the incarnation that the claim names
     */
    public BeginResult begin(ClaimRef ref, long incarnation) {
        return incarnation == mIncarnation ? begin(ref) : BeginResult.INDETERMINATE;
    }

    private boolean isAtOrBelowLowWaterMark(ClaimRef ref) {
        return ref.offset() <= mLowWaterMarks.getOrDefault(ref.partition(), -1L);
    }

    /** States that a started call has a whole answer. */
    public void recordOutcome(ClaimRef ref, ClaimOutcome outcome) {
        boolean tooLarge = outcome.keptBytes() > mLimits.maxOutcomeBytes();
        settle(ref, State.DONE, Optional.of(tooLarge ? outcome.withoutBody() : outcome));
    }

    /** States that the upstream certainly did not receive a started call; it may begin again. */
    public void recordNotRun(ClaimRef ref) {
        settle(ref, State.NOT_RUN, Optional.empty());
    }

    /** States that a started call may or may not have run. */
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
     * Answers another process's question.
     *
     * @param incarnation the incarnation that the claim names
     * @param fence whether to refuse the claim from now on unless it has begun
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
        mBodyBytes += outcome.map(ClaimOutcome::keptBytes).orElse(0);
        evictOldest();
    }

    private void remove(ClaimRef ref) {
        Entry old = mSettled.remove(ref);
        if (old != null) {
            mBodyBytes -= old.outcome().map(ClaimOutcome::keptBytes).orElse(0);
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
            mBodyBytes -= oldest.getValue().outcome().map(ClaimOutcome::keptBytes).orElse(0);
            entries.remove();
            mLowWaterMarks.merge(ref.partition(), ref.offset(), Math::max);
        }
    }

    private boolean mustEvict(Entry oldest) {
        return mSettled.size() > mLimits.maxClaims()
                || mBodyBytes > mLimits.maxBytes()
                || mTime.since(oldest.changedNanos()).compareTo(mLimits.retention()) > 0;
    }

    /** Returns the number of remembered claims. */
    public int size() {
        synchronized (mLock) {
            return mRunning.size() + mSettled.size();
        }
    }

    /** Whether a claimed call may be handed to the upstream. */
    public enum BeginResult {
        /** The call may be sent, once. */
        STARTED,
        /** The claim was fenced; the call has not run and will not run here. */
        FENCED,
        /** The claim has begun before; ask for its answer. */
        ALREADY_BEGUN,
        /** The claim is so old that it may have run before; it is refused. */
        INDETERMINATE
    }

    /**
     * Bounds of the memory.
     *
     * @param maxClaims greatest number of claims that are not running
     * @param maxBytes greatest size of all kept bodies, in bytes
     * @param maxOutcomeBytes size above which a body is not kept, in bytes
     * @param window how long a claim is remembered after it ended
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
