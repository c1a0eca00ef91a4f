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
public final class ClaimMemory {

    private final Limits mLimits;
    private final long mIncarnation;
    private final TimeSource mTime;
    private final Object mLock = new Object();
    private final Map<ClaimRef, Entry> mRunning = new HashMap<>();
    // Ordered by the time of the last change, oldest first.
    private final LinkedHashMap<ClaimRef, Entry> mSettled = new LinkedHashMap<>();
    private final Map<Integer, Long> mLowWater = new HashMap<>();
    private long mKeptBytes;

    /**
     * Makes an empty memory.
     *
     * @param incarnation value that differs at every start of the agent
     */
    public ClaimMemory(Limits limits, long incarnation, TimeSource time) {
        mLimits = limits;
        mIncarnation = incarnation;
        mTime = time;
    }

    /**
     * Asks to hand a claimed call to the upstream. Only after {@link Begin#STARTED} may the call be
     * sent, and then {@link #done}, {@link #notRun} or {@link #unknown} must follow.
     */
    public Begin begin(ClaimRef ref) {
        synchronized (mLock) {
            forgetOld();
            if (mRunning.containsKey(ref)) {
                return Begin.SEEN;
            }
            Entry entry = mSettled.get(ref);
            if (entry == null && isBelowLowWater(ref)) {
                return Begin.NOT_VOUCHED;
            }
            if (entry != null && entry.state() != State.NOT_RUN) {
                return entry.state() == State.FENCED ? Begin.FENCED : Begin.SEEN;
            }
            remove(ref);
            mRunning.put(ref, new Entry(State.RUNNING, Optional.empty(), mTime.nanoTime()));
            return Begin.STARTED;
        }
    }

    /**
     * Asks to hand a claimed call to the upstream, as {@link #begin(ClaimRef)}, and refuses a call
     * that was meant for another incarnation of this agent.
     *
     * @param incarnation the incarnation that the claim names
     */
    public Begin begin(ClaimRef ref, long incarnation) {
        return incarnation == mIncarnation ? begin(ref) : Begin.NOT_VOUCHED;
    }

    private boolean isBelowLowWater(ClaimRef ref) {
        return ref.offset() <= mLowWater.getOrDefault(ref.partition(), -1L);
    }

    /** States that a started call has a whole answer. */
    public void done(ClaimRef ref, ClaimOutcome outcome) {
        boolean tooLarge = outcome.keptBytes() > mLimits.maxOutcomeBytes();
        settle(ref, State.DONE, Optional.of(tooLarge ? outcome.withoutBody() : outcome));
    }

    /** States that the upstream certainly did not receive a started call; it may begin again. */
    public void notRun(ClaimRef ref) {
        settle(ref, State.NOT_RUN, Optional.empty());
    }

    /** States that a started call may or may not have run. */
    public void unknown(ClaimRef ref) {
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
    public ClaimAnswer ask(ClaimRef ref, long incarnation, boolean fence) {
        if (incarnation != mIncarnation) {
            return ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);
        }
        synchronized (mLock) {
            forgetOld();
            if (mRunning.containsKey(ref)) {
                return ClaimAnswer.of(ClaimAnswer.State.RUNNING);
            }
            Entry entry = mSettled.get(ref);
            return entry == null ? answerUnseen(ref, fence) : answerSettled(ref, entry, fence);
        }
    }

    private ClaimAnswer answerUnseen(ClaimRef ref, boolean fence) {
        if (isBelowLowWater(ref)) {
            return ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);
        }
        if (fence) {
            put(ref, State.FENCED, Optional.empty());
        }
        return ClaimAnswer.of(ClaimAnswer.State.NEVER_SEEN);
    }

    private ClaimAnswer answerSettled(ClaimRef ref, Entry entry, boolean fence) {
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
        mKeptBytes += outcome.map(ClaimOutcome::keptBytes).orElse(0);
        forgetOld();
    }

    private void remove(ClaimRef ref) {
        Entry old = mSettled.remove(ref);
        if (old != null) {
            mKeptBytes -= old.outcome().map(ClaimOutcome::keptBytes).orElse(0);
        }
    }

    private void forgetOld() {
        Iterator<Map.Entry<ClaimRef, Entry>> entries = mSettled.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ClaimRef, Entry> oldest = entries.next();
            if (!mustForget(oldest.getValue())) {
                return;
            }
            ClaimRef ref = oldest.getKey();
            mKeptBytes -= oldest.getValue().outcome().map(ClaimOutcome::keptBytes).orElse(0);
            entries.remove();
            mLowWater.merge(ref.partition(), ref.offset(), Math::max);
        }
    }

    private boolean mustForget(Entry oldest) {
        return mSettled.size() > mLimits.maxClaims()
                || mKeptBytes > mLimits.maxBytes()
                || mTime.since(oldest.changedNanos()).compareTo(mLimits.window()) > 0;
    }

    /** Returns the number of remembered claims. */
    public int size() {
        synchronized (mLock) {
            return mRunning.size() + mSettled.size();
        }
    }

    /** Whether a claimed call may be handed to the upstream. */
    public enum Begin {
        /** The call may be sent, once. */
        STARTED,
        /** The claim was fenced; the call has not run and will not run here. */
        FENCED,
        /** The claim has begun before; ask for its answer. */
        SEEN,
        /** The claim is so old that it may have run before; it is refused. */
        NOT_VOUCHED
    }

    /**
     * Bounds of the memory.
     *
     * @param maxClaims greatest number of claims that are not running
     * @param maxBytes greatest size of all kept bodies, in bytes
     * @param maxOutcomeBytes size above which a body is not kept, in bytes
     * @param window how long a claim is remembered after it ended
     */
    public record Limits(int maxClaims, long maxBytes, int maxOutcomeBytes, Duration window) {}

    private enum State {
        RUNNING,
        DONE,
        NOT_RUN,
        UNKNOWN,
        FENCED
    }

    private record Entry(State state, Optional<ClaimOutcome> outcome, long changedNanos) {}
}
