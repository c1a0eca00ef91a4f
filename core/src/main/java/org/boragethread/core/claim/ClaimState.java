package org.boragethread.core.claim;

import java.util.Arrays;
import java.util.Optional;
import org.boragethread.model.claim.ClaimRef;

/** Mutable state of one key, kept small because a ledger holds very many. */
final class ClaimState {

    private static final int MAX_SPENT = 8;
    private static final long[] NONE = new long[0];

    private final KeyHash mKey;
    private long[] mSpent = NONE;
    private long mBodyHash;
    private long mOffset;
    private long mRecordHash;
    private long mOutcomeOffset = -1;
    private long mTimeMillis;
    private ClaimStatus mStatus;
    private ClaimView.Open mOpen;

    ClaimState(KeyHash key) {
        mKey = key;
    }

    void hold(ClaimRecord.Claim claim, long offset, long timeMillis, long recordHash) {
        mBodyHash = claim.bodyHash();
        mOffset = offset;
        mTimeMillis = timeMillis;
        mRecordHash = recordHash;
        mOutcomeOffset = -1;
        mStatus = ClaimStatus.OPEN;
        mOpen = new ClaimView.Open(claim.entry(), claim.target(), 0);
    }

    void markUncertain(ClaimRecord.Claim claim, long offset, long timeMillis) {
        mBodyHash = claim.bodyHash();
        mOffset = offset;
        mTimeMillis = timeMillis;
        mStatus = ClaimStatus.UNCERTAIN;
        mOpen = null;
    }

    void finish(long outcomeOffset) {
        mOutcomeOffset = outcomeOffset;
        mStatus = ClaimStatus.DONE;
        mOpen = null;
    }

    void release() {
        spend(mRecordHash);
        mStatus = ClaimStatus.RELEASED;
        mOpen = null;
    }

    void handOver(ClaimRecord.Handover handover) {
        mOpen = new ClaimView.Open(mOpen.entry(), handover.target(), handover.number());
        mStatus = ClaimStatus.OPEN;
    }

    void markUnresolved() {
        mStatus = ClaimStatus.UNRESOLVED;
    }

    /** Remembers a record that must have no effect when it is repeated. */
    void spend(long recordHash) {
        int kept = Math.min(mSpent.length, MAX_SPENT - 1);
        long[] spent = Arrays.copyOfRange(mSpent, mSpent.length - kept, mSpent.length + 1);
        spent[kept] = recordHash;
        mSpent = spent;
    }

    boolean isRepeated(long recordHash) {
        if (mStatus != ClaimStatus.UNCERTAIN && recordHash == mRecordHash) {
            return true;
        }
        return Arrays.stream(mSpent).anyMatch(spent -> spent == recordHash);
    }

    KeyHash key() {
        return mKey;
    }

    long bodyHash() {
        return mBodyHash;
    }

    long offset() {
        return mOffset;
    }

    long timeMillis() {
        return mTimeMillis;
    }

    ClaimStatus status() {
        return mStatus;
    }

    int handovers() {
        return mOpen == null ? 0 : mOpen.handovers();
    }

    ClaimView view(int partition) {
        return new ClaimView(
                new ClaimRef(partition, mOffset),
                mKey,
                mBodyHash,
                mStatus,
                Optional.ofNullable(mOpen),
                mOutcomeOffset,
                mTimeMillis);
    }
}
