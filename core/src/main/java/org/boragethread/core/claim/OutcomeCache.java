package org.boragethread.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.RecordCodec;
import org.boragethread.core.record.RecordSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/**
 * Read-through cache of recorded outcomes. Recent outcomes are held in a bounded amount of memory;
 * others are read from the log. Thread-safe.
 */
final class OutcomeCache {

    private static final int ENTRY_OVERHEAD_BYTES = 200;

    private final RecordSource mSource;
    private final long mMaxBytes;
    private final LinkedHashMap<ClaimRef, ClaimOutcome> mByClaim = new LinkedHashMap<>();
    private long mBytes;

    OutcomeCache(RecordSource source, long maxBytes) {
        mSource = source;
        mMaxBytes = maxBytes;
    }

    synchronized void put(ClaimRef ref, ClaimOutcome outcome) {
        if (mByClaim.putIfAbsent(ref, outcome) != null) {
            return;
        }
        mBytes += outcome.bodyBytes() + ENTRY_OVERHEAD_BYTES;
        Iterator<Map.Entry<ClaimRef, ClaimOutcome>> oldest = mByClaim.entrySet().iterator();
        while (mBytes > mMaxBytes && oldest.hasNext()) {
            mBytes -= oldest.next().getValue().bodyBytes() + ENTRY_OVERHEAD_BYTES;
            oldest.remove();
        }
    }

    synchronized Optional<ClaimOutcome> cached(ClaimRef ref) {
        return Optional.ofNullable(mByClaim.get(ref));
    }

    CompletableFuture<Optional<ClaimOutcome>> find(ClaimView claim) {
        Optional<ClaimOutcome> cached = cached(claim.ref());
        if (cached.isPresent()) {
            return CompletableFuture.completedFuture(cached);
        }
        String stream = ClaimSettings.streamName(claim.ref().partition());
        return mSource.read(stream, claim.outcomeOffset())
                .thenApply(data -> data.flatMap(bytes -> decode(claim.ref(), bytes)));
    }

    private Optional<ClaimOutcome> decode(ClaimRef ref, byte[] data) {
        Optional<ClaimOutcome> outcome =
                ClaimTable.CODEC.decode(data).flatMap(record -> toOutcome(ref, record));
        outcome.ifPresent(value -> put(ref, value));
        return outcome;
    }

    private static Optional<ClaimOutcome> toOutcome(
            ClaimRef ref, RecordCodec.Decoded<ClaimRecord> record) {
        if (!(record.header() instanceof ClaimRecord.Outcome header)
                || header.claim() != ref.offset()) {
            return Optional.empty();
        }
        Optional<byte[]> body =
                header.bodyOmitted() ? Optional.empty() : Optional.of(record.payload());
        return Optional.of(new ClaimOutcome(header.status(), header.contentType(), body));
    }
}
