package org.boragethread.agent.call;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.boragethread.core.claim.ClaimExecutionRegistry;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/** Keeps the answer of a claimed call, up to a bound, so that any entry can ask for it. */
final class ClaimedCall implements CallRecord {

    private final ClaimExecutionRegistry mMemory;
    private final ClaimRef mClaim;
    private final int mMaxBytes;
    private int mStatus;
    private String mContentType = "";
    private ByteString mBody = ByteString.EMPTY;
    private boolean mTooLarge;

    /**
     * Records a claim that has begun.
     *
     * @param maxBytes size above which the body is not kept, in bytes
     */
    ClaimedCall(ClaimExecutionRegistry memory, ClaimRef claim, int maxBytes) {
        mMemory = memory;
        mClaim = claim;
        mMaxBytes = maxBytes;
    }

    @Override
    public synchronized void head(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
    }

    @Override
    public synchronized void data(ByteString data) {
        if (mTooLarge) {
            return;
        }
        if (mBody.size() + data.size() > mMaxBytes) {
            mTooLarge = true;
            mBody = ByteString.EMPTY;
            return;
        }
        mBody = mBody.concat(data);
    }

    @Override
    public synchronized void done() {
        Optional<byte[]> body = mTooLarge ? Optional.empty() : Optional.of(mBody.toByteArray());
        mMemory.recordOutcome(mClaim, new ClaimOutcome(mStatus, mContentType, body));
    }

    @Override
    public void notRun() {
        mMemory.recordNotRun(mClaim);
    }

    @Override
    public void unknown() {
        mMemory.recordUnknown(mClaim);
    }

    @Override
    public boolean outlivesEntry() {
        return true;
    }
}
