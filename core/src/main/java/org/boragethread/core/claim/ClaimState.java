package org.boragethread.core.claim;

import java.util.Arrays;
import java.util.Optional;
import org.boragethread.model.claim.ClaimRef;

/** Mutable state of one key, kept compact because a state machine tracks very many keys. */
final class ClaimState {

    private static final int MAX_IGNORED_RECORDS = 8;
    private static final long[] NO_RECORDS = new long[0];

    private final KeyHash mKey;
    private long[] mIgnoredRecordHashes = NO_RECORDS;
    private long mBodyHash;
    private long mOffset;
    private long mRecordHash;
    private long mOutcomeOffset = -1;
    private long mTimeMillis;
    private ClaimStatus mStatus;
    private ClaimView.Assignment mAssignment;

    ClaimState(KeyHash key) {
        mKey = key;
    }

    void acquire(ClaimRecord.Claim claim, long offset, long timeMillis, long recordHash) {
        mBodyHash = claim.bodyHash();
        mOffset = offset;
        mTimeMillis = timeMillis;
        mRecordHash = recordHash;
        mOutcomeOffset = -1;
        mStatus = ClaimStatus.OPEN;
        mAssignment = new ClaimView.Assignment(claim.entry(), claim.target(), 0);
    }

    void markUncertain(ClaimRecord.Claim claim, long offset, long timeMillis) {
        mBodyHash = claim.bodyHash();
        mOffset = offset;
        mTimeMillis = timeMillis;
        mStatus = ClaimStatus.UNCERTAIN;
        mAssignment = null;
    }

    void complete(long outcomeOffset) {
        mOutcomeOffset = outcomeOffset;
        mStatus = ClaimStatus.DONE;
        mAssignment = null;
    }

    void release() {
        ignoreRepetitions(mRecordHash);
        mStatus = ClaimStatus.RELEASED;
        mAssignment = null;
    }

    void handOver(ClaimRecord.Handover handover) {
        mAssignment =
                new ClaimView.Assignment(mAssignment.entry(), handover.target(), handover.number());
        mStatus = ClaimStatus.OPEN;
    }

    void markUnresolved() {
        mStatus = ClaimStatus.UNRESOLVED;
    }

    /** Stores the hash of a record so that later duplicates of it have no effect. */
    void ignoreRepetitions(long recordHash) {
        int kept = Math.min(mIgnoredRecordHashes.length, MAX_IGNORED_RECORDS - 1);
        long[] hashes =
                Arrays.copyOfRange(
                        mIgnoredRecordHashes,
                        mIgnoredRecordHashes.length - kept,
                        mIgnoredRecordHashes.length + 1);
        hashes[kept] = recordHash;
        mIgnoredRecordHashes = hashes;
    }

    boolean isRepetition(long recordHash) {
        if (mStatus != ClaimStatus.UNCERTAIN && recordHash == mRecordHash) {
            return true;
        }
        return Arrays.stream(mIgnoredRecordHashes).anyMatch(ignored -> ignored == recordHash);
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
        return mAssignment == null ? 0 : mAssignment.handovers();
    }

    ClaimView view(int partition) {
        return new ClaimView(
                new ClaimRef(partition, mOffset),
                mKey,
                mBodyHash,
                mStatus,
                Optional.ofNullable(mAssignment),
                mOutcomeOffset,
                mTimeMillis);
    }
}
