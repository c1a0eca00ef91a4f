package org.boragethread.core.claim;

import org.boragethread.core.record.RetryingWriter;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/** Appends the records that settle claims, without waiting for them to be written. */
final class ClaimWriter {

    private static final byte[] NO_BODY = new byte[0];

    private final RetryingWriter mWriter;
    private final int mMaxOutcomeBytes;

    ClaimWriter(RetryingWriter writer, int maxOutcomeBytes) {
        mWriter = writer;
        mMaxOutcomeBytes = maxOutcomeBytes;
    }

    void outcome(ClaimRef ref, ClaimOutcome outcome) {
        boolean omitted = outcome.body().isEmpty() || outcome.bodyBytes() > mMaxOutcomeBytes;
        byte[] body = omitted ? NO_BODY : outcome.body().get();
        ClaimRecord.Outcome header =
                new ClaimRecord.Outcome(
                        ref.offset(), outcome.status(), outcome.contentType(), omitted);
        write(ref, ClaimTable.CODEC.encode(header, body));
    }

    void release(ClaimRef ref, int handovers, ReleaseProof proof) {
        ClaimRecord.Release header = new ClaimRecord.Release(ref.offset(), handovers, proof);
        write(ref, ClaimTable.CODEC.encode(header));
    }

    void unresolved(ClaimRef ref, int handovers) {
        ClaimRecord.Unresolved header = new ClaimRecord.Unresolved(ref.offset(), handovers);
        write(ref, ClaimTable.CODEC.encode(header));
    }

    private void write(ClaimRef ref, byte[] data) {
        mWriter.write(ClaimSettings.streamName(ref.partition()), data);
    }
}
