package org.boragethread.wire.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.wire.frame.ClaimProtoConversions;

/** Claim queries that await an answer. Confined to the event loop of a connection. */
final class PendingClaimQueries {

    private final Map<Long, CompletableFuture<Optional<ClaimAnswer>>> mPending = new HashMap<>();
    private long mNextNumber;

    /** Adds a query and returns its number. */
    long add(CompletableFuture<Optional<ClaimAnswer>> answer) {
        long number = mNextNumber++;
        mPending.put(number, answer);
        return number;
    }

    /** Completes the query with the number in the answer, if it is still pending. */
    void onAnswer(org.boragethread.wire.proto.ClaimAnswer message) {
        CompletableFuture<Optional<ClaimAnswer>> pending = mPending.remove(message.getQuery());
        if (pending != null) {
            pending.complete(Optional.of(ClaimProtoConversions.fromProto(message)));
        }
    }

    /** Completes all queries without an answer, because the connection is closed. */
    void completeAllEmpty() {
        List<CompletableFuture<Optional<ClaimAnswer>>> abandoned =
                new ArrayList<>(mPending.values());
        mPending.clear();
        abandoned.forEach(answer -> answer.complete(Optional.empty()));
    }
}
