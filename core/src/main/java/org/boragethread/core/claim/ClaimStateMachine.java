package org.boragethread.core.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Deterministic state machine over one claim stream: every process that applies the same records
 * reaches the same state. It reads no clock; claims expire by the log time of later records. Not
 * thread-safe.
 *
 * <p>An instance that starts after the beginning of the stream misses older claims. Until it has
 * read one claim retention period of records, it cannot tell who holds a key it encounters. Such a
 * key stays {@link ClaimStatus#UNCERTAIN} until no claim for it has appeared for one retention
 * period. The log must therefore retain records for at least twice the claim retention period.
 */
public final class ClaimStateMachine {

    private static final long UNKNOWN_TIME = Long.MIN_VALUE;

    private final int mPartition;
    private final long mRetentionMillis;
    private final ClaimPolicy mPolicy;
    // Ordered by claim time, oldest first.
    private final LinkedHashMap<KeyHash, ClaimState> mByKey = new LinkedHashMap<>();
    private final Map<Long, ClaimState> mOpenByOffset = new HashMap<>();
    private long mNextOffset;
    private long mLogTimeMillis = UNKNOWN_TIME;
    private long mCertainFromMillis = UNKNOWN_TIME;
    private boolean mTruncated;

    /**
     * Creates the state machine of a stream that is read from its beginning.
     *
     * @param partition partition number of the claim stream
     * @param retention how long a claim holds its key, in log time
     */
    public ClaimStateMachine(int partition, Duration retention) {
        this(partition, retention, ClaimPolicy.STRICT);
    }

    ClaimStateMachine(int partition, Duration retention, ClaimPolicy policy) {
        mPartition = partition;
        mRetentionMillis = retention.toMillis();
        mPolicy = policy;
    }

    /**
     * Clears all state and restarts at an offset. Older claims are missed if the offset is above 0.
     *
     * @param firstOffset offset of the next record
     */
    public void restart(long firstOffset) {
        mByKey.clear();
        mOpenByOffset.clear();
        mNextOffset = firstOffset;
        mLogTimeMillis = UNKNOWN_TIME;
        mCertainFromMillis = UNKNOWN_TIME;
        mTruncated = firstOffset > 0;
    }

    /** Returns the offset of the next expected record. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Skips a record that is not a claim record. */
    public void skip(long offset, long timeMillis) {
        advance(offset, timeMillis);
    }

    /**
     * Applies the next record.
     *
     * @param offset the record's offset; records below {@link #nextOffset} are ignored
     * @param timeMillis the record's log time, in milliseconds since the Unix epoch
     * @param recordId the record's identifier
     * @return the effect of the record on the state
     */
    public ClaimApplyResult apply(
            long offset, long timeMillis, String recordId, ClaimRecord record) {
        if (offset < mNextOffset) {
            return new ClaimApplyResult.Ignored();
        }
        advance(offset, timeMillis);
        if (record instanceof ClaimRecord.Claim claim) {
            return applyClaim(claim, offset, Hashing.komihash5_0().hashCharsToLong(recordId));
        }
        if (record instanceof ClaimRecord.Release release) {
            return applyRelease(release);
        }
        if (record instanceof ClaimRecord.Outcome outcome) {
            return applyOutcome(outcome, offset);
        }
        if (record instanceof ClaimRecord.Handover handover) {
            return applyHandover(handover);
        }
        return applyUnresolved((ClaimRecord.Unresolved) record);
    }

    private void advance(long offset, long timeMillis) {
        if (offset > mNextOffset) {
            restart(offset);
        }
        mNextOffset = offset + 1;
        mLogTimeMillis = Math.max(mLogTimeMillis, timeMillis);
        if (mTruncated && mCertainFromMillis == UNKNOWN_TIME) {
            mCertainFromMillis = mLogTimeMillis + mRetentionMillis;
        }
        expire();
    }

    private void expire() {
        Iterator<ClaimState> states = mByKey.values().iterator();
        while (states.hasNext()) {
            ClaimState state = states.next();
            if (mLogTimeMillis - state.timeMillis() < mRetentionMillis) {
                return;
            }
            states.remove();
            mOpenByOffset.remove(state.offset());
        }
    }

    private ClaimApplyResult applyClaim(ClaimRecord.Claim claim, long offset, long recordHash) {
        ClaimState state = mByKey.get(claim.key());
        if (state == null) {
            return isCertain()
                    ? acquire(new ClaimState(claim.key()), claim, offset, recordHash)
                    : markUncertain(new ClaimState(claim.key()), claim, offset);
        }
        if (state.status() == ClaimStatus.UNCERTAIN) {
            return markUncertain(state, claim, offset);
        }
        if (state.isRepetition(recordHash)) {
            return new ClaimApplyResult.Ignored();
        }
        if (state.status() == ClaimStatus.RELEASED || !mPolicy.firstClaimWins()) {
            return acquire(state, claim, offset, recordHash);
        }
        state.ignoreRepetitions(recordHash);
        ClaimView holder = state.view(mPartition);
        return state.bodyHash() == claim.bodyHash()
                ? new ClaimApplyResult.Lost(holder)
                : new ClaimApplyResult.KeyReused(holder);
    }

    private boolean isCertain() {
        return !mTruncated || mLogTimeMillis >= mCertainFromMillis;
    }

    private ClaimApplyResult acquire(
            ClaimState state, ClaimRecord.Claim claim, long offset, long recordHash) {
        mOpenByOffset.remove(state.offset());
        state.acquire(claim, offset, mLogTimeMillis, recordHash);
        moveToNewest(state);
        mOpenByOffset.put(offset, state);
        return new ClaimApplyResult.Won(state.view(mPartition));
    }

    private ClaimApplyResult markUncertain(ClaimState state, ClaimRecord.Claim claim, long offset) {
        state.markUncertain(claim, offset, mLogTimeMillis);
        moveToNewest(state);
        return new ClaimApplyResult.Lost(state.view(mPartition));
    }

    private void moveToNewest(ClaimState state) {
        mByKey.remove(state.key());
        mByKey.put(state.key(), state);
    }

    private ClaimApplyResult applyRelease(ClaimRecord.Release release) {
        ClaimState state = mOpenByOffset.get(release.claim());
        if (state == null) {
            return new ClaimApplyResult.Ignored();
        }
        if (mPolicy.releaseChecksHandovers() && release.handovers() != state.handovers()) {
            return new ClaimApplyResult.Ignored();
        }
        mOpenByOffset.remove(release.claim());
        state.release();
        return new ClaimApplyResult.Changed(state.view(mPartition));
    }

    private ClaimApplyResult applyOutcome(ClaimRecord.Outcome outcome, long offset) {
        ClaimState state = mOpenByOffset.remove(outcome.claim());
        if (state == null) {
            return new ClaimApplyResult.Ignored();
        }
        state.complete(offset);
        return new ClaimApplyResult.Changed(state.view(mPartition));
    }

    private ClaimApplyResult applyHandover(ClaimRecord.Handover handover) {
        ClaimState state = mOpenByOffset.get(handover.claim());
        if (state == null || handover.number() != state.handovers() + 1) {
            return new ClaimApplyResult.Ignored();
        }
        state.handOver(handover);
        return new ClaimApplyResult.Changed(state.view(mPartition));
    }

    private ClaimApplyResult applyUnresolved(ClaimRecord.Unresolved unresolved) {
        ClaimState state = mOpenByOffset.get(unresolved.claim());
        if (state == null || unresolved.handovers() != state.handovers()) {
            return new ClaimApplyResult.Ignored();
        }
        state.markUnresolved();
        return new ClaimApplyResult.Changed(state.view(mPartition));
    }

    /** Returns the state of a key, or empty if no claim for it is known. */
    public Optional<ClaimView> find(KeyHash key) {
        return Optional.ofNullable(mByKey.get(key)).map(state -> state.view(mPartition));
    }

    /** Returns the state of a claim, or empty if the claim is neither open nor unresolved. */
    public Optional<ClaimView> findOpen(long claimOffset) {
        return Optional.ofNullable(mOpenByOffset.get(claimOffset))
                .map(state -> state.view(mPartition));
    }

    /** Returns the number of tracked keys. */
    public int size() {
        return mByKey.size();
    }

    /** Returns the number of open and unresolved claims. */
    public int openClaims() {
        return mOpenByOffset.size();
    }
}
