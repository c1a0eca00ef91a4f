package org.boragethread.wire.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.wire.frame.ClaimMessages;

/** Questions about claims that wait for an answer. Confined to the event loop of a connection. */
final class PendingQuestions {

    private final Map<Long, CompletableFuture<Optional<ClaimAnswer>>> mWaiting = new HashMap<>();
    private long mNext;

    /** Adds a question and returns its number. */
    long add(CompletableFuture<Optional<ClaimAnswer>> answer) {
        long number = mNext++;
        mWaiting.put(number, answer);
        return number;
    }

    /** Completes the question that an answer names, if it still waits. */
    void answer(org.boragethread.wire.proto.ClaimAnswer message) {
        CompletableFuture<Optional<ClaimAnswer>> waiting = mWaiting.remove(message.getQuery());
        if (waiting != null) {
            waiting.complete(Optional.of(ClaimMessages.fromWire(message)));
        }
    }

    /** Completes all questions without an answer, because the connection has ended. */
    void abandon() {
        List<CompletableFuture<Optional<ClaimAnswer>>> lost = new ArrayList<>(mWaiting.values());
        mWaiting.clear();
        lost.forEach(answer -> answer.complete(Optional.empty()));
    }
}
