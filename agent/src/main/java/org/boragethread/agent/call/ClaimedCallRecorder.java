package org.boragethread.agent.call;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.boragethread.core.claim.ClaimExecutionRegistry;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/**
 * Records the response of a claimed call, up to a maximum size, in the registry, where every entry
 * can query it.
 */
final class ClaimedCallRecorder implements CallRecorder {

    private final ClaimExecutionRegistry mRegistry;
    private final ClaimRef mClaim;
    private final int mMaxBodyBytes;
    private int mStatus;
    private String mContentType = "";
    private ByteString mBody = ByteString.EMPTY;
    private boolean mTooLarge;

    /**
     * Creates the recorder of a claimed call that has begun.
     *
     * @param maxBodyBytes size above which the body is not kept, in bytes
     */
    ClaimedCallRecorder(ClaimExecutionRegistry registry, ClaimRef claim, int maxBodyBytes) {
        mRegistry = registry;
        mClaim = claim;
        mMaxBodyBytes = maxBodyBytes;
    }

    @Override
    public synchronized void onHead(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
    }

    @Override
    public synchronized void onData(ByteString data) {
        if (mTooLarge) {
            return;
        }
        if (mBody.size() + data.size() > mMaxBodyBytes) {
            mTooLarge = true;
            mBody = ByteString.EMPTY;
            return;
        }
        mBody = mBody.concat(data);
    }

    @Override
    public synchronized void onComplete() {
        Optional<byte[]> body = mTooLarge ? Optional.empty() : Optional.of(mBody.toByteArray());
        mRegistry.recordOutcome(mClaim, new ClaimOutcome(mStatus, mContentType, body));
    }

    @Override
    public void onNotRun() {
        mRegistry.recordNotRun(mClaim);
    }

    @Override
    public void onOutcomeUnknown() {
        mRegistry.recordUnknown(mClaim);
    }

    @Override
    public boolean continuesAfterCancel() {
        return true;
    }
}
